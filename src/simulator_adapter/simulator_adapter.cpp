#include "simulator_adapter/simulator_adapter.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <iostream>
#include <optional>

#include "core/settings.h"

namespace firvalve::drill {

using rapidjson::Value;

// An event's fields, read by name; what is absent or of the wrong type is told by event and field.
class Fields {
 public:
  Fields(const std::string& event, const Value& value) : event_(event), value_(value) {
    if (!value.IsObject()) throw Malformed("event " + event + ": not an object");
  }

  int64_t whole(const char* name) const { return whole_in(required(name), name); }
  int64_t whole(const char* name, int64_t otherwise) const {
    const Value* v = find(name);
    return v ? whole_in(*v, name) : otherwise;
  }
  double number(const char* name, double otherwise) const {
    const Value* v = find(name);
    if (v && !v->IsNumber()) wrong(name, "a number");
    return v ? v->GetDouble() : otherwise;
  }
  bool flag(const char* name) const {
    const Value* v = find(name);
    if (v && !v->IsBool()) wrong(name, "true or false");
    return v && v->GetBool();
  }
  std::string text(const char* name) const {
    const Value& v = required(name);
    if (!v.IsString()) wrong(name, "a string");
    return {v.GetString(), v.GetStringLength()};
  }
  CommandId command() const {
    const std::string id = text("job");
    CommandId c;
    if (id.size() != c.text.size()) wrong("job", "16 characters");
    std::copy(id.begin(), id.end(), c.text.begin());
    return c;
  }
  const Value& required(const char* name) const {
    const Value* v = find(name);
    if (!v) wrong(name, "there");
    return *v;
  }
  const Value* find(const char* name) const {
    const auto at = value_.FindMember(name);
    return at == value_.MemberEnd() || at->value.IsNull() ? nullptr : &at->value;
  }
  [[noreturn]] void wrong(const char* name, const std::string& wanted) const {
    throw Malformed("event " + event_ + ": field " + name + " is not " + wanted);
  }

 private:
  int64_t whole_in(const Value& v, const char* name) const {
    if (v.IsInt64()) return v.GetInt64();
    if (v.IsUint64()) return static_cast<int64_t>(v.GetUint64());
    wrong(name, "a whole number");
  }

  const std::string& event_;
  const Value& value_;
};

namespace {

Ms ms_of(int64_t ns) { return static_cast<double>(ns) / 1e6; }
int64_t to_ns(Duration duration) { return std::llround(to_ms(duration) * 1e6); }

EngineId engine_id(const Fields& f) { return EngineId{static_cast<uint32_t>(f.whole("engine"))}; }

std::optional<int> place_of(const std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) return std::nullopt;
  return static_cast<int>(at - names.begin());
}

Outcome outcome_of(const Fields& f) {
  static const std::pair<const char*, Outcome> kOutcomes[] = {
      {"Ok", Outcome::kOk},
      {"Failed", Outcome::kFailed},
      {"QueueFull", Outcome::kQueueFull},
      {"TimedOut", Outcome::kTimedOut},
      {"ConnectError", Outcome::kConnectFailed},
      {"ResetByPeer", Outcome::kReset},
      {"Canceled", Outcome::kCancelled},
      {"Ignored", Outcome::kCancelledBeforeStart},
  };
  const std::string name = f.text("disposition");
  for (const auto& [wire, ours] : kOutcomes)
    if (name == wire) return ours;
  f.wrong("disposition", "a known outcome");
}

std::vector<EngineInfo> listings_of(const Fields& f) {
  const Value& members = f.required("members");
  if (!members.IsArray()) f.wrong("members", "a list");
  std::vector<EngineInfo> all;
  for (const Value& member : members.GetArray()) {
    static const std::string kMember = "MANIFEST members";
    const Fields m(kMember, member);
    EngineInfo l;
    l.engine = engine_id(m);
    l.zone = m.find("zone") ? m.text("zone") : "";
    l.machine_type = m.find("generation_hw") ? m.text("generation_hw") : "";
    l.cell = static_cast<int>(m.whole("block", 0));
    const int64_t state = m.whole("lifecycle");
    l.state = state == 1 ? EngineState::kReady : state == 2 ? EngineState::kDraining : EngineState::kRemoved;
    if (const int64_t started_at = m.whole("born", 0); started_at > 0)
      l.started_at = time_point_of(ms_of(started_at));
    all.push_back(l);
  }
  return all;
}

void append_text(std::string& out, const std::string& text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.c_str(), static_cast<rapidjson::SizeType>(text.size()));
  out.append(buffer.GetString(), buffer.GetSize());
}

}  // namespace

SimulatorAdapter::Gateway* SimulatorAdapter::held(int64_t id) {
  const auto at = gateways_.find(id);
  if (at == gateways_.end()) return nullptr;
  if (!at->second.heard) {
    at->second.heard = true;
    order_.push_back(id);
  }
  return &at->second;
}

void SimulatorAdapter::take(const std::string& name, const Fields& f, Ms now) {
  if (name == "MANIFEST") {
    lists_[f.whole("ref")] = listings_of(f);
    return;
  }
  static const char* const kKnown[] = {"START",   "KILLED", "UPDATE",       "ACCEPT", "CHANGE",
                                       "SETTLED", "GONE",   "PROBE_RESULT", "BELL"};
  if (std::none_of(std::begin(kKnown), std::end(kKnown), [&](const char* k) { return name == k; })) return;
  const int64_t id = f.whole("gateway_id");
  if (name == "START") {
    const Value& json = f.required("settings");
    if (!json.IsObject()) f.wrong("settings", "an object");
    const int64_t salt = f.whole("salt");
    const Settings settings = parse_settings(json);
    gateways_.erase(id);
    Gateway& g = gateways_[id];
    g.state = open(settings, static_cast<uint64_t>(salt));
    g.profiles = names_of(settings, "profile");
    std::erase(order_, id);
    held(id);
    return;
  }
  if (name == "KILLED") {
    gateways_.erase(id);
    std::erase(order_, id);
    return;
  }
  // The fields are read first, so that a malformed event is told also where no such gateway is held.
  Event event;
  std::string profile;
  if (name == "UPDATE") {
    EngineListUpdate r;
    const int64_t how = f.whole("how");
    if (how == 2) return;  // a call failed: the old list holds
    const auto list = lists_.find(f.whole("ref"));
    if (list == lists_.end()) f.wrong("ref", "the number of a list");
    r.is_complete = how == 3 || how == 4;
    r.engines = list->second;
    event = std::move(r);
  } else if (name == "ACCEPT") {
    Admitted t;
    t.id = f.command();
    profile = f.text("class");
    if (f.find("target")) t.ordering_key = static_cast<uint64_t>(f.whole("target"));
    t.deadline = time_point_of(ms_of(f.whole("valid_until")));
    if (const int64_t work = f.whole("plan_cost", 0); work > 0) t.estimated_work = duration_of(ms_of(work));
    t.estimated_memory_mb = f.number("est_memory_mb", 0);
    if (f.find("table_group")) t.table_group = static_cast<int64_t>(f.number("table_group", 0));
    f.flag("resent");  // read for the sake of malformed ones: nothing is decided from it
    event = t;
  } else if (name == "CHANGE") {
    AttemptStatus n;
    n.id = f.command();
    n.attempt = static_cast<int>(f.whole("round_no"));
    const int64_t kind = f.whole("kind");
    if (kind < 1 || kind > 3) return;
    n.kind = static_cast<AttemptStatusKind>(kind);
    n.value = f.number("x", 0);
    event = n;
  } else if (name == "SETTLED") {
    AttemptFinished r;
    r.id = f.command();
    r.attempt = static_cast<int>(f.whole("round_no"));
    r.outcome = outcome_of(f);
    r.elapsed = duration_of(ms_of(f.whole("time_taken")));
    r.is_command_finished = f.flag("last");
    const int64_t bill = f.whole("bill", 0);  // milliseconds x 4096 + memory in steps of 4 MB
    if (bill / 4096 > 0) r.work = duration_of(static_cast<double>(bill / 4096));
    if (bill % 4096 > 0) r.memory_mb = static_cast<double>(bill % 4096) * 4;
    event = r;
  } else if (name == "PROBE_RESULT") {
    event = ProbeResult{engine_id(f), outcome_of(f)};
  } else if (name == "GONE") {
    event = ClientGone{f.command()};
  } else {
    f.whole("ref");  // of the one timer that is set at a time
    event = TimerFired{};
  }
  Gateway* g = held(id);
  if (!g) return;
  if (auto* t = std::get_if<Admitted>(&event)) {
    t->profile = place_of(g->profiles, profile);
    if (!t->profile)
      std::cerr << "firvalve-simulator-adapter: event ACCEPT: no profile is named " << profile << '\n';
  }
  handle(g->state, time_point_of(now), event);
}

void SimulatorAdapter::write(int64_t id, const Action& a) {
  const auto begin = [&](const char* name) {
    if (reply_.back() != '[') reply_ += ',';
    reply_.append("{\"").append(name).append("\":{\"gateway_id\":").append(std::to_string(id));
  };
  const auto command = [&] {
    reply_.append(",\"job\":");
    append_text(reply_, std::string(a.command.text.begin(), a.command.text.end()));
  };
  const auto whole = [&](const char* name, int64_t value) {
    reply_.append(",\"").append(name).append("\":").append(std::to_string(value));
  };
  switch (a.kind) {
    case Action::Kind::kStartAttempt:
      begin("RELAY"), command(), whole("engine", to_number(a.engine));
      break;
    case Action::Kind::kCancelAttempt:
      begin("RETRACT"), command(), whole("round_no", a.attempt);
      break;
    case Action::Kind::kShedCommand:
      begin("DENY"), command();
      if (a.retry_after) whole("stay_away", to_ns(*a.retry_after));
      break;
    case Action::Kind::kFailCommand:
      begin("FAIL"), command();
      break;
    case Action::Kind::kSetSchedulingHints:
      begin("GRANT_AND_RANK"), command(), whole("importance", a.priority);
      reply_.append(",\"allot_mb\":").append(std::to_string(a.memory_grant_mb));
      break;
    case Action::Kind::kSetTimer:
      begin("SET_ALARM"), whole("wait", to_ns(a.timer_delay)), whole("ref", 0);
      break;
    case Action::Kind::kLogEngineHealth:
      begin("SAY_LOG"), reply_.append(",\"line\":"),
          append_text(reply_, engine_health_text(a.engine, a.health));
      break;
  }
  reply_ += "}}";
}

void SimulatorAdapter::panic(int64_t id, const std::string& why) {
  if (reply_.back() != '[') reply_ += ',';
  reply_.append("{\"PANIC\":{\"gateway_id\":").append(std::to_string(id)).append(",\"line\":");
  append_text(reply_, why);
  reply_ += "}}";
}

void SimulatorAdapter::reply_for(int64_t id, Gateway& g, Ms now) {
  g.heard = false;
  actions_.clear();
  try {
    decide(g.state, time_point_of(now), actions_);
  } catch (const std::exception& e) {
    return panic(id, e.what());
  }
  for (const Action& a : actions_) write(id, a);
}

const std::string& SimulatorAdapter::answer(std::string line) {
  rapidjson::Document batch;
  batch.ParseInsitu(line.data());
  if (batch.HasParseError())
    throw Malformed(std::string("not JSON: ") + rapidjson::GetParseError_En(batch.GetParseError()));
  static const std::string kBatch = "batch";
  const Fields whole(kBatch, batch);
  const Ms now = ms_of(whole.whole("wall"));
  const Value& happened = whole.required("happened");
  if (!happened.IsArray()) whole.wrong("happened", "a list");
  reply_ = "{\"decisions\":[";
  order_.clear();
  for (const Value& one : happened.GetArray()) {
    if (!one.IsObject() || one.MemberCount() != 1)
      whole.wrong("happened", "a list of events with one name each");
    const auto& member = *one.MemberBegin();
    const std::string name(member.name.GetString(), member.name.GetStringLength());
    const Fields fields(name, member.value);
    try {
      take(name, fields, now);
    } catch (const Malformed&) {
      throw;
    } catch (const std::exception& e) {
      panic(fields.whole("gateway_id"), e.what());
    }
  }
  for (const int64_t id : order_) reply_for(id, gateways_.at(id), now);
  reply_ += "]}";
  return reply_;
}

}  // namespace firvalve::drill
