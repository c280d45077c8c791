#include "simulation/invariant_checker.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <sstream>

namespace firvalve::simulation {

namespace {

template <class T>
std::map<std::string, std::vector<T>> by(const std::vector<T>& all, std::string T::*name) {
  std::map<std::string, std::vector<T>> out;
  for (const T& one : all) out[one.*name].push_back(one);
  return out;
}

void check_spans(const FleetHistory& history, std::vector<FleetViolation>& out) {
  for (auto& [lease, spans] : by(history.held, &HeldSpan::lease)) {
    std::stable_sort(spans.begin(), spans.end(),
                     [](const HeldSpan& a, const HeldSpan& b) { return a.from < b.from; });
    const HeldSpan* longest = nullptr;  // of those so far, the one that ends last
    uint64_t highest = 0;
    for (const HeldSpan& s : spans) {
      if (longest && s.from < longest->until && (s.epoch != longest->epoch || s.holder != longest->holder))
        out.push_back({"one_holder", fmt::format("{}: {} under {} from {:.3f} while {} under {} until {:.3f}",
                                                 lease, s.holder, s.epoch, s.from, longest->holder,
                                                 longest->epoch, longest->until)});
      if (s.epoch <= highest)
        out.push_back(
            {"epochs_grow", fmt::format("{}: {} took {} after {}", lease, s.holder, s.epoch, highest)});
      highest = std::max(highest, s.epoch);
      if (!longest || s.until > longest->until) longest = &s;
    }
  }
}

void check_acts(const FleetHistory& history, std::vector<FleetViolation>& out) {
  std::map<std::pair<std::string, std::string>, uint64_t> highest;
  for (const TakenAct& a : history.acts) {
    uint64_t& h = highest[{a.lease, a.receiver}];
    if (a.epoch < h)
      out.push_back({"acts_in_order", fmt::format("{}: {} took an act of {} after one of {}", a.lease,
                                                  a.receiver, a.epoch, h)});
    h = std::max(h, a.epoch);
  }
}

using Report = std::function<void(std::string text)>;
using Operations = std::vector<RecordOp>;

// Each version was made once.
std::map<uint64_t, uint64_t> check_versions(const Operations& operations, const Report& report) {
  std::map<uint64_t, uint64_t> change_of_version;
  for (const RecordOp& op : operations) {
    const auto [at, first] = change_of_version.emplace(op.version, op.id);
    if (!first && at->second != op.id)
      report(fmt::format("version {} is {:x} and {:x}", op.version, at->second, op.id));
  }
  return change_of_version;
}

// Each version builds on the one before.
void check_predecessors(const Operations& operations, const std::map<uint64_t, uint64_t>& change_of_version,
                        const Report& report) {
  for (const RecordOp& op : operations) {
    if (op.kind != RecordOp::Kind::kChange) continue;
    const auto before = change_of_version.find(op.version - 1);
    if (before != change_of_version.end() && before->second != op.on)
      report(fmt::format("version {} was to build on {:x} and stands on {:x}", op.version, op.on,
                         before->second));
    if (op.version == 1 && op.on != 0) report("the first version was to build on another");
  }
}

// In the order of their starts, against the highest version that had ended when each began.
void check_real_time_order(const Operations& operations, const Report& report) {
  std::vector<const RecordOp*> by_end;
  by_end.reserve(operations.size());
  for (const RecordOp& op : operations) by_end.push_back(&op);
  std::vector<const RecordOp*> by_start = by_end;
  std::sort(by_end.begin(), by_end.end(),
            [](const RecordOp* a, const RecordOp* b) { return a->ended < b->ended; });
  std::sort(by_start.begin(), by_start.end(),
            [](const RecordOp* a, const RecordOp* b) { return a->asked < b->asked; });
  size_t next = 0;
  uint64_t place = 0;
  for (const RecordOp* const op : by_start) {
    for (; next < by_end.size() && by_end[next]->ended < op->asked; ++next)
      place = std::max(place, by_end[next]->version);
    const bool is_change = op->kind == RecordOp::Kind::kChange;
    if (op->version < place || (is_change && op->version == place && place > 0))
      report(fmt::format("{} asked at {:.3f} has place {} after {} had ended",
                         is_change ? "a change" : "a reading", op->asked, op->version, place));
  }
}

// On one register that is changed by compare-and-set each operation tells its place: the version that it made
// or read. They can be put in one order exactly where each version was made once, on top of the one before,
// and no operation that ended before another began has a later place.
void check_ops(const FleetHistory& history, std::vector<FleetViolation>& out) {
  for (auto& [key, operations] : by(history.ops, &RecordOp::key)) {
    const Report report = [&, k = key](std::string text) {
      out.push_back({"linearizable", k + ": " + std::move(text)});
    };
    check_predecessors(operations, check_versions(operations, report), report);
    check_real_time_order(operations, report);
  }
}

}  // namespace

std::vector<FleetViolation> check_invariants(const FleetHistory& history) {
  std::vector<FleetViolation> out;
  check_spans(history, out);
  check_acts(history, out);
  for (const auto& [name, all] : by(history.begun, &Begun::name))
    if (all.size() > 1)
      out.push_back(
          {"once", fmt::format("{} was begun {} times, the second at {:.3f}", name, all.size(), all[1].at)});
  for (const AgreedTopic& b : history.bulletins)
    for (const auto& [subscriber, reads] : b.declarations)
      for (const auto& [version, fields] : b.published)
        for (const std::string& field : reads)
          if (!fields.count(field))
            out.push_back({"compatible", fmt::format("{} at {:.3f}: version {} has no {}, which {} reads",
                                                     b.name, b.at, version, field, subscriber)});
  check_ops(history, out);
  return out;
}

AgreedTopic read_agreed(const std::string& name, Ms at, const std::string& json) {
  AgreedTopic out{name, at, {}, {}};
  rapidjson::Document d;
  d.Parse(json.c_str());
  if (d.HasParseError() || !d.IsObject() || !d.HasMember("versions")) return out;
  std::map<uint64_t, std::string> names;
  for (const auto& version : d["versions"].GetArray()) {
    std::set<std::string> fields;
    for (const auto& field : version["schema"]["fields"].GetArray()) {
      names[field["number"].GetUint64()] = field["name"].GetString();
      fields.insert(field["name"].GetString());
    }
    if (std::string(version["state"].GetString()) == "live")
      out.published[version["number"].GetUint64()] = fields;
  }
  for (const auto& declaration : d["declarations"].GetArray())
    for (const auto& number : declaration["reads"].GetArray())
      out.declarations[declaration["subscriber"].GetString()].insert(names[number.GetUint64()]);
  return out;
}

void read_spans(const std::string& holder, const std::string& log, FleetHistory& into) {
  std::map<std::string, HeldSpan> open;
  std::istringstream lines(log);
  const auto close = [&](const std::string& lease) {
    const auto at = open.find(lease);
    if (at == open.end()) return;
    into.held.push_back(at->second);
    open.erase(at);
  };
  for (std::string line; std::getline(lines, line);) {
    rapidjson::Document d;
    d.Parse(line.c_str());
    if (d.HasParseError() || !d.IsObject()) continue;
    const auto text = [&d](const char* name) -> std::string {
      const auto at = d.FindMember(name);
      return at != d.MemberEnd() && at->value.IsString() ? at->value.GetString() : "";
    };
    const auto number = [&](const char* name) { return std::strtod(text(name).c_str(), nullptr); };
    const std::string event = text("event"), lease = text("lease");
    if (!event.starts_with("lease.") || lease.empty()) continue;
    const uint64_t epoch = std::strtoull(text("epoch").c_str(), nullptr, 10);
    if (event == "lease.acquired") {
      close(lease);
      open[lease] = {lease, holder, epoch, number("at_ms"), number("until_ms")};
    } else if (const auto at = open.find(lease); at != open.end() && at->second.epoch == epoch) {
      if (event == "lease.renewed") at->second.until = number("until_ms");
      if (event == "lease.released" || event == "lease.lost") {
        at->second.until = std::min(at->second.until, number("at_ms"));
        close(lease);
      }
    }
  }
  while (!open.empty()) close(open.begin()->first);
}

}  // namespace firvalve::simulation
