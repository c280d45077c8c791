#include "cluster/run_once_requests.h"

#include <xxhash.h>

#include <algorithm>

namespace firvalve::cluster {

using Action = lease::RunOnceJobs::Action;
using End = lease::RunOnceJobs::End;

void RunOnceRequests::request(TimePoint now, CallRef call, std::string_view job, CommandRequest&& command) {
  const BootClock::time_point boot_now = BootClock::now();
  Request& request = requests_[call];
  request.command = command.command;
  request.profile = command.profile;
  request.statement = std::move(command.statement);
  request.tables = command.tables;
  request.deadline = now + duration_of(command.timeout);
  if (shutdown_deadline_) request.deadline = std::min(request.deadline, *shutdown_deadline_);
  request.estimate = command.estimate;
  request.memory_mb = command.memory_mb;
  // Never 0, which stands for no statement.
  const uint64_t hash = XXH3_64bits(request.statement.data(), request.statement.size()) | 1;
  log_.count_requested_job();
  jobs_.ask(to_ms(boot_now), std::string(job), call, hash, to_ms(boot_now + (request.deadline - now)));
}

void RunOnceRequests::cancel(CallRef call) {
  if (requests_.erase(call) > 0) jobs_.gone(to_ms(BootClock::now()), call);
}

void RunOnceRequests::carry_out(TimePoint now) {
  // A job that could not be started has an answer at once.
  for (std::vector<Action> actions = jobs_.take_actions(); !actions.empty(); actions = jobs_.take_actions())
    for (const Action& action : actions)
      if (action.kind == Action::Kind::kStart)
        start(now, action);
      else
        respond(action);
}

void RunOnceRequests::start(TimePoint now, const Action& action) {
  const auto requested = requests_.find(action.call);
  if (requested == requests_.end() || !core_)
    return jobs_.run_ended(to_ms(BootClock::now()), action.name, End::kNeverRan, {});
  const Request& request = requested->second;
  CommandRequest command;
  command.command = request.command;
  command.profile = request.profile;
  command.statement = request.statement;
  command.tables = request.tables;
  command.timeout = std::max(1.0, to_ms(request.deadline - now));
  command.estimate = request.estimate;
  command.memory_mb = request.memory_mb;
  const CallRef call = ++last_started_;
  started_[call] = action.name;
  log_.record_started_job(action.name);
  if (core_->admit(to_ms(now), call, std::move(command)) != AdmissionResult::kTaken) {
    started_.erase(call);
    jobs_.run_ended(to_ms(BootClock::now()), action.name, End::kNeverRan, {});
  }
}

void RunOnceRequests::respond(const Action& action) {
  if (requests_.erase(action.call) == 0) return;  // its client waits no longer
  if (action.kind == Action::Kind::kAnswer)
    clients_.answer(action.call, action.text);
  else if (action.kind == Action::Kind::kShed)
    clients_.shed(action.call, action.advice);
  else
    clients_.fail(action.call, action.text);
}

bool RunOnceRequests::finish(CallRef call, End end, std::string_view rows, Duration advice) {
  const auto started = started_.find(call);
  if (started == started_.end()) return false;
  const std::string job = std::move(started->second);
  started_.erase(started);
  jobs_.run_ended(to_ms(BootClock::now()), job, end, std::string(rows), to_ms(advice));
  return true;
}

void RunOnceRequests::begin_shutdown(TimePoint deadline) {
  shutdown_deadline_ = deadline;
  jobs_.leave();
}

}  // namespace firvalve::cluster
