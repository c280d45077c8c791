#include "cluster/run_once_requests.h"

#include <xxhash.h>

#include <algorithm>

#include "proto/store/attempt_exchange.h"

namespace firvalve::cluster {

using Action = lease::RunOnceJobs::Action;
using RunOutcome = lease::RunOnceJobs::RunOutcome;

namespace {

constexpr Duration kMinTimeout(1);
static_assert(lease::kMaxStoredRowsBytes >= proto::kMaxResultBytes, "each result can be stored");

}  // namespace

void RunOnceRequests::submit(TimePoint now, CallId call, std::string_view job, CommandRequest&& command) {
  const BootClock::time_point boot_now = BootClock::now();
  Request& request = requests_[call];
  request.command = command.command;
  request.profile = command.profile;
  request.statement = std::move(command.statement);
  request.table_group = command.table_group;
  request.deadline = now + command.timeout;
  if (shutdown_deadline_) request.deadline = std::min(request.deadline, *shutdown_deadline_);
  request.estimated_work = command.estimated_work;
  request.memory_mb = command.memory_mb;
  // The low bit is set because 0 means no statement.
  const uint64_t hash = XXH3_64bits(request.statement.data(), request.statement.size()) | 1;
  log_.count_requested_job();
  jobs_.submit(boot_now, std::string(job), to_number(call), hash, boot_now + (request.deadline - now));
}

void RunOnceRequests::cancel(CallId call) {
  if (requests_.erase(call) > 0) jobs_.remove_call(BootClock::now(), to_number(call));
}

void RunOnceRequests::execute_actions(TimePoint now) {
  // A job that could not be started adds a response action at once.
  for (std::vector<Action> actions = jobs_.take_actions(); !actions.empty(); actions = jobs_.take_actions())
    for (const Action& action : actions)
      if (action.kind == Action::Kind::kStart)
        start_job(now, action);
      else
        respond(action);
}

void RunOnceRequests::start_job(TimePoint now, const Action& action) {
  const auto requested = requests_.find(CallId{action.call});
  if (requested == requests_.end() || !core_)
    return jobs_.on_run_finished(BootClock::now(), action.key, RunOutcome::kNeverRan, {});
  const Request& request = requested->second;
  CommandRequest command;
  command.command = request.command;
  command.profile = request.profile;
  command.statement = request.statement;
  command.table_group = request.table_group;
  command.timeout = std::max(kMinTimeout, request.deadline - now);
  command.estimated_work = request.estimated_work;
  command.memory_mb = request.memory_mb;
  const CallId call = last_started_ = next_after(last_started_);
  started_[call] = action.key;
  log_.record_started_job(action.key);
  const AdmissionResult admitted = core_->admit(now, call, std::move(command));
  if (admitted == AdmissionResult::kAdmitted) return;
  started_.erase(call);
  const RunOutcome outcome =
      admitted == AdmissionResult::kAlreadyRan ? RunOutcome::kFailed : RunOutcome::kNeverRan;
  jobs_.on_run_finished(BootClock::now(), action.key, outcome, {});
}

void RunOnceRequests::respond(const Action& action) {
  const CallId call{action.call};
  if (requests_.erase(call) == 0) return;  // the client has disconnected
  if (action.kind == Action::Kind::kComplete)
    clients_.answer(call, action.rows);
  else if (action.kind == Action::Kind::kShed)
    clients_.shed(call, action.retry_after > Duration(0) ? std::optional(action.retry_after) : std::nullopt);
  else
    clients_.fail(call, action.error);
}

bool RunOnceRequests::finish_command(CallId call, RunOutcome outcome, std::string_view rows,
                                     std::optional<Duration> retry_after) {
  const auto started = started_.find(call);
  if (started == started_.end()) return false;
  const std::string job = std::move(started->second);
  started_.erase(started);
  jobs_.on_run_finished(BootClock::now(), job, outcome, std::string(rows), retry_after.value_or(Duration{}));
  return true;
}

void RunOnceRequests::begin_shutdown(TimePoint deadline) {
  shutdown_deadline_ = deadline;
  jobs_.stop_accepting();
}

}  // namespace firvalve::cluster
