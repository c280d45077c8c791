// Implements the invariant checks of clusters and the parsers of their input.
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
std::map<std::string, std::vector<T>> group_by(const std::vector<T>& all, std::string T::*name) {
  std::map<std::string, std::vector<T>> out;
  for (const T& one : all) out[one.*name].push_back(one);
  return out;
}

void check_lease_terms(const ClusterHistory& history, std::vector<InvariantViolation>& out) {
  for (auto& [lease, terms] : group_by(history.lease_terms, &LeaseTerm::lease)) {
    std::stable_sort(terms.begin(), terms.end(),
                     [](const LeaseTerm& a, const LeaseTerm& b) { return a.from < b.from; });
    const LeaseTerm* last_ending = nullptr;  // the term so far that ends last
    uint64_t highest = 0;
    for (const LeaseTerm& term : terms) {
      if (last_ending && term.from < last_ending->until &&
          (term.epoch != last_ending->epoch || term.holder != last_ending->holder))
        out.push_back({"one_holder",
                       fmt::format("{}: {} with epoch {} from {:.3f}, while {} with epoch {} until {:.3f}",
                                   lease, term.holder, term.epoch, term.from, last_ending->holder,
                                   last_ending->epoch, last_ending->until)});
      if (term.epoch <= highest)
        out.push_back({"epochs_grow", fmt::format("{}: {} acquired epoch {} after epoch {}", lease,
                                                  term.holder, term.epoch, highest)});
      highest = std::max(highest, term.epoch);
      if (!last_ending || term.until > last_ending->until) last_ending = &term;
    }
  }
}

void check_fencing(const ClusterHistory& history, std::vector<InvariantViolation>& out) {
  std::map<std::pair<std::string, std::string>, uint64_t> highest;
  for (const AcceptedRequest& request : history.accepted_requests) {
    uint64_t& highest_epoch = highest[{request.lease, request.receiver}];
    if (request.epoch < highest_epoch)
      out.push_back(
          {"acts_in_order", fmt::format("{}: {} accepted a request of epoch {} after one of epoch {}",
                                        request.lease, request.receiver, request.epoch, highest_epoch)});
    highest_epoch = std::max(highest_epoch, request.epoch);
  }
}

using Report = std::function<void(std::string text)>;
using Operations = std::vector<RegisterOperation>;

// Checks that each version was made by one change; returns the change of each version.
std::map<uint64_t, uint64_t> check_versions(const Operations& operations, const Report& report) {
  std::map<uint64_t, uint64_t> change_of_version;
  for (const RegisterOperation& op : operations) {
    const auto [at, first] = change_of_version.emplace(op.version, op.id);
    if (!first && at->second != op.id)
      report(fmt::format("version {} was made by changes {:x} and {:x}", op.version, at->second, op.id));
  }
  return change_of_version;
}

// Checks that each change replaced the version that it expected.
void check_predecessors(const Operations& operations, const std::map<uint64_t, uint64_t>& change_of_version,
                        const Report& report) {
  for (const RegisterOperation& op : operations) {
    if (op.kind != RegisterOperation::Kind::kChange) continue;
    const auto before = change_of_version.find(op.version - 1);
    if (before != change_of_version.end() && before->second != op.expected_change)
      report(fmt::format("version {} expected change {:x} and replaced {:x}", op.version, op.expected_change,
                         before->second));
    if (op.version == 1 && op.expected_change != 0) report("the first version expected a predecessor");
  }
}

// Checks each operation, in the order of their starts, against the highest version whose operation had ended
// before its start.
void check_real_time_order(const Operations& operations, const Report& report) {
  std::vector<const RegisterOperation*> by_end;
  by_end.reserve(operations.size());
  for (const RegisterOperation& op : operations) by_end.push_back(&op);
  std::vector<const RegisterOperation*> by_start = by_end;
  std::sort(by_end.begin(), by_end.end(),
            [](const RegisterOperation* a, const RegisterOperation* b) { return a->ended < b->ended; });
  std::sort(by_start.begin(), by_start.end(),
            [](const RegisterOperation* a, const RegisterOperation* b) { return a->started < b->started; });
  size_t next = 0;
  uint64_t min_version = 0;
  for (const RegisterOperation* const op : by_start) {
    for (; next < by_end.size() && by_end[next]->ended < op->started; ++next)
      min_version = std::max(min_version, by_end[next]->version);
    const bool is_change = op->kind == RegisterOperation::Kind::kChange;
    if (op->version < min_version || (is_change && op->version == min_version && min_version > 0))
      report(fmt::format("{} started at {:.3f} has version {} after version {} had ended",
                         is_change ? "change" : "read", op->started, op->version, min_version));
  }
}

// A register is changed by compare-and-set only, so the version that an operation made or read gives its
// place in the order. The history is linearizable exactly if each version was made once, on top of the
// version before it, and no operation that ended before another one started has a later place.
void check_linearizability(const ClusterHistory& history, std::vector<InvariantViolation>& out) {
  for (auto& [key, operations] : group_by(history.operations, &RegisterOperation::key)) {
    const Report report = [&, k = key](std::string text) {
      out.push_back({"linearizable", k + ": " + std::move(text)});
    };
    check_predecessors(operations, check_versions(operations, report), report);
    check_real_time_order(operations, report);
  }
}

}  // namespace

std::vector<InvariantViolation> check_invariants(const ClusterHistory& history) {
  std::vector<InvariantViolation> out;
  check_lease_terms(history, out);
  check_fencing(history, out);
  for (const auto& [name, all] : group_by(history.job_starts, &JobStart::name))
    if (all.size() > 1)
      out.push_back({"once", fmt::format("{} was started {} times, the second time at {:.3f}", name,
                                         all.size(), all[1].at)});
  for (const TopicSnapshot& topic : history.topics)
    for (const auto& [subscriber, reads] : topic.declarations)
      for (const auto& [version, fields] : topic.published)
        for (const std::string& field : reads)
          if (!fields.count(field))
            out.push_back({"compatible", fmt::format("{} at {:.3f}: version {} has no {}, which {} reads",
                                                     topic.name, topic.at, version, field, subscriber)});
  check_linearizability(history, out);
  return out;
}

TopicSnapshot parse_topic(const std::string& name, Ms at, const std::string& json) {
  TopicSnapshot out{name, at, {}, {}};
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

void add_lease_terms(const std::string& holder, const std::string& log, ClusterHistory& into) {
  std::map<std::string, LeaseTerm> open;
  std::istringstream lines(log);
  const auto close = [&](const std::string& lease) {
    const auto at = open.find(lease);
    if (at == open.end()) return;
    into.lease_terms.push_back(at->second);
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
