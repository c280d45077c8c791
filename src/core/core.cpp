// Implements the core: admission, engine events, the end of commands, and the execution of decisions.
#include "core/core.h"

#include <algorithm>
#include <utility>

#include "core/settings.h"
#include "policy/setting_keys.h"

namespace firvalve {

Core::Core(const Settings& settings, uint64_t seed, ResponseSink& responses, EngineTransport& engines,
           Metrics& metrics, EngineHealthObserver on_engine_health)
    : state_(open(settings, seed)),
      tick_(number_setting(settings, setting::kTick)),
      profiles_(names_of(settings, setting::kProfiles)),
      limits_(settings),
      may_cancel_(number_setting(settings, setting::kMayCancel) > 0),
      responses_(responses),
      engines_(engines),
      metrics_(metrics),
      on_engine_health_(std::move(on_engine_health)) {}

const std::string& Core::profile_name(const PendingCommand& command) const {
  return profiles_[static_cast<size_t>(command.profile)];
}

void Core::notify_observer(TimePoint now, const PendingCommand& command, CommandEvent event) const {
  if (!observer_) return;
  event.command = view_of(command.id);
  event.profile = profile_name(command);
  event.engine = directory_.name_of(command.engine);
  event.attempts = command.attempt_count;
  observer_(now, event);
}

void Core::handle_event(TimePoint now, const Event& event) {
  last_event_at_ = now;
  handle(state_, now, event);
  has_new_events_ = true;
}

// ---- Clients --------------------------------------------------------------------------------------

AdmissionResult Core::admit(TimePoint now, CallId call, CommandRequest&& request) {
  const auto profile = std::find(profiles_.begin(), profiles_.end(), request.profile);
  if (profile == profiles_.end()) return AdmissionResult::kUnknownProfile;
  if (!limits_.allow(request)) return AdmissionResult::kOutOfRange;
  const int profile_number = static_cast<int>(profile - profiles_.begin());
  const bool is_retry = !request.retry_of.empty();
  if (is_retry && join_pending(now, call, request, profile_number)) return AdmissionResult::kAdmitted;
  const bool paged = results_.applies_to(request);
  if (is_retry && paged) {
    found_result_ = results_.find(now, request);
    if (found_result_) return AdmissionResult::kResultFound;
  }
  const CommandId id = command_id_of(request.command);
  if (must_not_run_again(state_, id)) return AdmissionResult::kAlreadyRan;
  if (!commands_.has_capacity_for(request.statement)) return AdmissionResult::kNoCapacity;
  PendingCommand* const command =
      commands_.add(id, call, is_retry ? command_id_of(request.retry_of) : id, std::move(request.statement));
  if (!command) return AdmissionResult::kDuplicateId;
  command->profile = profile_number;
  command->deadline = now + request.timeout;
  if (shutdown_ends_at_) command->deadline = std::min(command->deadline, *shutdown_ends_at_);
  metrics_.add("commands admitted", *profile);
  notify_observer(now, *command, {.kind = CommandEvent::Kind::kAdmitted});
  notify_policy_admitted(now, *command, request);
  if (paged && !results_.reserve(now, *command, *profile, request))
    handle_event(now, ResultReservation{id, false});
  return AdmissionResult::kAdmitted;
}

void Core::notify_policy_admitted(TimePoint now, const PendingCommand& command,
                                  const CommandRequest& request) {
  Admitted admitted;
  admitted.id = command.id;
  admitted.profile = command.profile;
  admitted.deadline = command.deadline;
  if (request.estimated_work > Duration{}) admitted.estimated_work = request.estimated_work;
  admitted.estimated_memory_mb = request.memory_mb;
  if (request.table_group >= 0) admitted.table_group = request.table_group;
  handle_event(now, admitted);
}

// Joins a retry to its command if that is still pending, as when a client lost track of it and sends it
// again. The command then runs once, and each call gets the answer. A retry matches only with the same
// statement and profile. This discloses nothing: a client that knows both and the id could have read the
// answer anyway.
bool Core::join_pending(TimePoint now, CallId call, const CommandRequest& request, int profile) {
  PendingCommand* const command = commands_.find_in_chain(command_id_of(request.retry_of));
  if (!command || !commands_.has_capacity_for_call()) return false;
  if (command->profile != profile || command->statement != request.statement) return false;
  if (command->paged != results_.applies_to(request) || command->result_key != request.result_key)
    return false;
  commands_.add_call(*command, call);
  metrics_.add("retries joined", profile_name(*command));
  update_half_closed(now, *command, now);
  return true;
}

std::optional<CallId> Core::find_call(std::string_view command) const {
  const PendingCommand* const found = commands_.find(command_id_of(command));
  return found ? found->call : std::nullopt;
}

void Core::client_gone(TimePoint now, CallId call) {
  PendingCommand* const command = commands_.find_by_call(call);
  if (!command) return;
  metrics_.add("given up by client", profile_name(*command));
  if (!command->joined_retries.empty()) {  // other calls still wait for it
    commands_.remove_call(*command, call);
    return update_half_closed(now, *command, now);
  }
  notify_observer(now, *command, {.kind = CommandEvent::Kind::kClientGone});
  finish(*command);
  handle_event(now, ClientGone{command->id});
}

void Core::client_half_closed(TimePoint now, CallId call, TimePoint since) {
  PendingCommand* const command = commands_.find_by_call(call);
  if (!command) return;
  commands_.half_close(call);
  update_half_closed(now, *command, since);
}

// Notifies the policy when the command's clients become all half-closed, or no longer are. A half-closed
// client may have disconnected.
void Core::update_half_closed(TimePoint now, PendingCommand& command, TimePoint since) {
  bool all_half_closed = true;
  command.for_each_call([&](CallId call) { all_half_closed &= commands_.is_half_closed(call); });
  if (all_half_closed == command.half_closed) return;
  command.half_closed = all_half_closed;
  handle_event(now, ClientHalfClosed{command.id, all_half_closed, since});
}

// ---- Engines --------------------------------------------------------------------------------------

void Core::update_engine_list(TimePoint now, bool is_complete, std::vector<NamedEngineInfo> engines,
                              std::optional<TimePoint> current_at) {
  EngineListUpdate update;
  update.is_complete = is_complete;
  update.current_at = current_at;
  std::map<EngineId, std::string> present;
  for (NamedEngineInfo& engine : engines) {
    engine.info.engine = directory_.number_of(engine.name);
    update.engines.push_back(engine.info);
    engines_.update_engine(now, to_number(engine.info.engine), engine.address, engine.info.state);
    if (engine.info.state == EngineState::kRemoved)
      directory_.remove(engine.info.engine, engine.name);
    else
      present[engine.info.engine] = engine.name;
  }
  if (is_complete)
    directory_.replace_all(std::move(present), [&](EngineId engine) {
      engines_.update_engine(now, to_number(engine), {}, EngineState::kRemoved);
    });
  else
    directory_.add(present);
  handle_event(now, update);
}

bool Core::may_start_attempt(TimePoint now, AttemptId attempt) const {
  const PendingCommand* const command = commands_.find_by_attempt(attempt);
  return command && !command->is_finished() && now < command->deadline &&
         firvalve::may_start_attempt(state_, command->id, now);
}

void Core::attempt_status_received(TimePoint now, AttemptId attempt, AttemptStatusKind kind, double value) {
  const PendingCommand* const command = commands_.find_by_attempt(attempt);
  if (!command) return;
  metrics_.add("attempt statuses received");
  handle_event(now, AttemptStatus{command->id, command->attempt_count - 1, kind, value});
}

ResultStore::AppendResult Core::append_page(TimePoint now, AttemptId attempt, std::string_view rows) {
  PendingCommand* const command = commands_.find_by_attempt(attempt);
  if (!command || !command->result) return ResultStore::AppendResult::kOutOfSpace;
  const ResultStore::AppendResult appended = results_.append_page(now, *command, rows);
  if (appended == ResultStore::AppendResult::kOutOfSpace) fail_out_of_space(now, *command);
  return appended;
}

void Core::attempt_finished(TimePoint now, AttemptId attempt, Outcome outcome, std::string_view rows) {
  PendingCommand* const command = commands_.end_attempt(attempt);
  if (!command) return;
  const Duration duration = now - command->attempt_started_at;
  metrics_.add("attempts finished", name_of(outcome));
  notify_observer(now, *command,
                  {.kind = CommandEvent::Kind::kAttemptFinished, .outcome = outcome, .duration = duration});
  AttemptFinished event;
  event.id = command->id;
  event.attempt = command->attempt_count - 1;
  event.outcome = outcome;
  event.elapsed = duration;
  if (command->is_finished()) {
    event.is_command_finished = true;
    commands_.release(*command);
  } else if (outcome == Outcome::kOk) {
    event.is_command_finished = true;
    answer(now, *command, rows);
  } else {
    results_.clear_pages(now, *command);  // no client has read a page yet, so another attempt can start over
  }
  handle_event(now, event);
}

// ---- End of a command -----------------------------------------------------------------------------

void Core::answer(TimePoint now, PendingCommand& command, std::string_view rows) {
  metrics_.add("answered", profile_name(command));
  if (command.paged) {
    const ResultHandle result = results_.complete(now, command);
    command.for_each_call([&](CallId call) { responses_.answer_paged(call, result); });
    command.result.reset();  // the store owns it from here on
  } else {
    command.for_each_call([&](CallId call) { responses_.answer(call, rows); });
  }
  notify_observer(now, command, {.kind = CommandEvent::Kind::kAnswered});
  finish(command);
}

// The policy itself decided this, so it gets no event.
void Core::shed_or_fail(TimePoint now, PendingCommand& command, const Action& action) {
  const bool is_shed = action.kind == Action::Kind::kShedCommand;
  metrics_.add(is_shed ? "shed" : "failed", profile_name(command));
  metrics_.add("commands ended unserved:", name_of(action.reason));
  notify_observer(
      now, command,
      {.kind = is_shed ? CommandEvent::Kind::kShed : CommandEvent::Kind::kFailed, .reason = action.reason});
  command.for_each_call([&](CallId call) {
    is_shed ? responses_.shed(call, action.retry_after) : responses_.fail(call, "failed");
  });
  if (!command.is_finished()) finish(command);
}

// Fails the command and notifies the policy that no client waits any more, so that it cancels the attempt in
// flight.
void Core::fail_out_of_space(TimePoint now, PendingCommand& command) {
  metrics_.add("failed", profile_name(command));
  command.for_each_call([&](CallId call) { responses_.fail(call, "the result has outgrown the spool"); });
  notify_observer(now, command, {.kind = CommandEvent::Kind::kFailed});
  finish(command);
  handle_event(now, ClientGone{command.id});
}

void Core::finish(PendingCommand& command) {
  results_.discard(last_event_at_, command);
  commands_.finish(command);
}

// ---- Result store and process ---------------------------------------------------------------------

void Core::result_space_available(TimePoint now) {
  results_.retry_waiting(
      now, [&](const PendingCommand& command) -> std::string_view { return profile_name(command); },
      [&](const PendingCommand& command) {
        handle_event(now, ResultReservation{command.id, true});
      });
}

void Core::begin_shutdown(TimePoint now, TimePoint ends_at) {
  shutdown_ends_at_ = ends_at;
  commands_.for_each(
      [&](PendingCommand& command) { command.deadline = std::min(command.deadline, ends_at); });
  deadline_check_at_ = earlier_of<TimePoint>(deadline_check_at_, ends_at);
  handle_event(now, ShutdownStarted{ends_at});
}

// ---- Decisions ------------------------------------------------------------------------------------

void Core::decide(TimePoint now) {
  cancel_past_deadline(now);
  fire_timers(now);
  if (!has_new_events_ || now < decided_at_ + tick_) return;
  has_new_events_ = false;
  decided_at_ = now;
  actions_.clear();
  firvalve::decide(state_, now, actions_);
  for (const Action& action : actions_) execute(now, action);
  commands_.erase_released();
}

std::optional<TimePoint> Core::next_due() const {
  std::optional<TimePoint> due = deadline_check_at_;
  if (!timers_.empty()) due = earlier_of<TimePoint>(due, *timers_.begin());
  if (has_new_events_) due = earlier_of<TimePoint>(due, decided_at_ + tick_);
  return due;
}

// Ends each attempt at its client's deadline at the latest, independent of its engine.
void Core::cancel_past_deadline(TimePoint now) {
  if (!deadline_check_at_ || now < *deadline_check_at_) return;
  deadline_check_at_.reset();
  commands_.for_each([&](PendingCommand& command) {
    if (!command.attempt || command.past_deadline) return;
    if (now < command.deadline) {
      deadline_check_at_ = earlier_of<TimePoint>(deadline_check_at_, command.deadline);
      return;
    }
    command.past_deadline = true;
    notify_observer(now, command,
                    {.kind = CommandEvent::Kind::kAttemptCancelled, .reason = Reason::kDeadlineExceeded});
    engines_.cancel_attempt(now, *command.attempt, Outcome::kTimedOut);
  });
}

void Core::fire_timers(TimePoint now) {
  for (; !timers_.empty() && *timers_.begin() <= now; timers_.erase(timers_.begin()))
    handle_event(now, TimerFired{});
}

void Core::execute(TimePoint now, const Action& action) {
  using Kind = Action::Kind;
  if (action.kind == Kind::kSetTimer) {
    timers_.insert(now + action.timer_delay);
    return;
  }
  if (action.kind == Kind::kLogEngineHealth)
    return on_engine_health_({directory_.name_of(action.engine), action.health});
  PendingCommand* const command = commands_.find(action.command);
  if (!command) return;
  switch (action.kind) {
    case Kind::kStartAttempt:
      return start_attempt(now, *command, action.engine);
    case Kind::kCancelAttempt:
      return cancel_attempt(now, *command, action);
    case Kind::kSetSchedulingHints:
      return set_priority(now, *command, action.priority);
    case Kind::kShedCommand:
    case Kind::kFailCommand:
      return shed_or_fail(now, *command, action);
    case Kind::kSetTimer:
    case Kind::kLogEngineHealth:
      return;  // handled above
  }
}

void Core::start_attempt(TimePoint now, PendingCommand& command, EngineId engine) {
  const std::string& profile = profile_name(command);
  metrics_.add(command.attempt_count > 0 ? "retries started" : "first attempts started", profile);
  const AttemptId attempt = commands_.start_attempt(now, command, engine);
  notify_observer(now, command, {.kind = CommandEvent::Kind::kAttemptStarted});
  deadline_check_at_ = earlier_of<TimePoint>(deadline_check_at_, command.deadline);
  engines_.start_attempt(now, {attempt, to_number(engine), view_of(command.id), profile, command.statement,
                               command.deadline, command.priority, command.paged, may_cancel_});
}

void Core::cancel_attempt(TimePoint now, PendingCommand& command, const Action& action) {
  if (!command.attempt || action.attempt != command.attempt_count - 1) return;
  metrics_.add("attempts cancelled", profile_name(command));
  metrics_.add("attempts cancelled:", name_of(action.reason));
  notify_observer(now, command, {.kind = CommandEvent::Kind::kAttemptCancelled, .reason = action.reason});
  engines_.cancel_attempt(now, *command.attempt, Outcome::kCancelled);
}

void Core::set_priority(TimePoint now, PendingCommand& command, int priority) {
  command.priority = priority;
  if (command.attempt) engines_.set_priority(now, *command.attempt, priority);
}

}  // namespace firvalve
