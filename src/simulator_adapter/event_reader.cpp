// Decodes the fields and codes of the simulator's protocol into the policy's events.
#include "simulator_adapter/event_reader.h"

#include <string_view>
#include <utility>

namespace firvalve::simulator {

using rapidjson::Value;

namespace {

// Codes of the simulator's protocol: `lifecycle` of an engine, and `how` of a list update.
constexpr int64_t kLifecycleReady = 1, kLifecycleDraining = 2;
constexpr int64_t kUpdateFailed = 2, kUpdateWholeList = 3, kUpdateFirstList = 4;
// The field `bill` of an answer packs two costs: work in milliseconds x 4096 + memory in steps of 4 MB.
constexpr int64_t kBillWorkFactor = 4096;
constexpr double kMbPerBillMemoryStep = 4;

Outcome read_outcome(const EventFields& fields) {
  static constexpr std::pair<std::string_view, Outcome> kOutcomes[] = {
      {"Ok", Outcome::kOk},
      {"Failed", Outcome::kFailed},
      {"QueueFull", Outcome::kQueueFull},
      {"TimedOut", Outcome::kTimedOut},
      {"ConnectError", Outcome::kConnectFailed},
      {"ResetByPeer", Outcome::kReset},
      {"Canceled", Outcome::kCancelled},
      {"Ignored", Outcome::kCancelledBeforeStart},
  };
  const std::string disposition = fields.text("disposition");
  for (const auto& [wire_name, outcome] : kOutcomes)
    if (disposition == wire_name) return outcome;
  fields.throw_mismatch("disposition", "a known outcome");
}

EngineState engine_state_of(int64_t lifecycle) {
  if (lifecycle == kLifecycleReady) return EngineState::kReady;
  return lifecycle == kLifecycleDraining ? EngineState::kDraining : EngineState::kRemoved;
}

EngineId read_engine_id(const EventFields& fields) {
  return EngineId{static_cast<uint32_t>(fields.integer("engine"))};
}

EngineInfo read_engine(const Value& member) {
  static const std::string kMember = "MANIFEST members";
  const EventFields fields(kMember, member);
  EngineInfo engine;
  engine.engine = read_engine_id(fields);
  engine.zone = fields.find("zone") ? fields.text("zone") : "";
  engine.machine_type = fields.find("generation_hw") ? fields.text("generation_hw") : "";
  engine.cell = static_cast<int>(fields.integer("block", 0));
  engine.state = engine_state_of(fields.integer("lifecycle"));
  if (const int64_t born = fields.integer("born", 0); born > 0) engine.started_at = time_of_nanoseconds(born);
  return engine;
}

}  // namespace

std::vector<EngineInfo> read_engine_list(const EventFields& fields) {
  const Value& members = fields.required("members");
  if (!members.IsArray()) fields.throw_mismatch("members", "a list");
  std::vector<EngineInfo> engines;
  for (const Value& member : members.GetArray()) engines.push_back(read_engine(member));
  return engines;
}

std::optional<EngineListUpdate> read_engine_list_update(const EventFields& fields) {
  const int64_t how = fields.integer("how");
  if (how == kUpdateFailed) return std::nullopt;
  EngineListUpdate update;
  update.is_complete = how == kUpdateWholeList || how == kUpdateFirstList;
  return update;
}

AcceptedCommand read_accepted_command(const EventFields& fields) {
  AcceptedCommand command;
  Admitted& admitted = command.admitted;
  admitted.id = fields.command_id();
  command.profile = fields.text("class");
  if (fields.find("target")) admitted.ordering_key = static_cast<uint64_t>(fields.integer("target"));
  admitted.deadline = time_of_nanoseconds(fields.integer("valid_until"));
  if (const int64_t cost = fields.integer("plan_cost", 0); cost > 0)
    admitted.estimated_work = duration_of_nanoseconds(cost);
  admitted.estimated_memory_mb = fields.number("est_memory_mb", 0);
  if (fields.find("table_group"))
    admitted.table_group = static_cast<int64_t>(fields.number("table_group", 0));
  fields.flag("resent");  // not used for decisions, but checked for its type
  return command;
}

std::optional<AttemptStatus> read_attempt_status(const EventFields& fields) {
  AttemptStatus status;
  status.id = fields.command_id();
  status.attempt = static_cast<int>(fields.integer("round_no"));
  const int64_t kind = fields.integer("kind");
  if (kind < 1 || kind > 3) return std::nullopt;
  status.kind = static_cast<AttemptStatusKind>(kind);
  status.value = fields.number("x", 0);
  return status;
}

AttemptFinished read_attempt_finished(const EventFields& fields) {
  AttemptFinished finished;
  finished.id = fields.command_id();
  finished.attempt = static_cast<int>(fields.integer("round_no"));
  finished.outcome = read_outcome(fields);
  finished.elapsed = duration_of_nanoseconds(fields.integer("time_taken"));
  finished.is_command_finished = fields.flag("last");
  const int64_t bill = fields.integer("bill", 0);
  if (const int64_t work_ms = bill / kBillWorkFactor; work_ms > 0)
    finished.work = Duration(static_cast<double>(work_ms));
  if (const int64_t memory_steps = bill % kBillWorkFactor; memory_steps > 0)
    finished.memory_mb = static_cast<double>(memory_steps) * kMbPerBillMemoryStep;
  return finished;
}

ProbeResult read_probe_result(const EventFields& fields) {
  ProbeResult result;
  result.engine = read_engine_id(fields);
  result.outcome = read_outcome(fields);
  return result;
}

ClientGone read_client_gone(const EventFields& fields) { return {fields.command_id()}; }

TimerFired read_timer_fired(const EventFields& fields) {
  fields.integer("ref");  // required, but not used: only one timer is set at a time
  return {};
}

}  // namespace firvalve::simulator
