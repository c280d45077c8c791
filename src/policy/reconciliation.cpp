// Compares the desired and the current state of each command and engine, and appends the actions to perform.
#include "policy/reconciliation.h"

#include <algorithm>

#include "policy/state.h"

namespace firvalve {
namespace {

Action& append(Actions& actions, Action::Kind kind, const CommandId& command = {}) {
  Action& action = actions.emplace_back();
  action.kind = kind;
  action.command = command;
  return action;
}

void fail_unknown_profiles(State& state, Actions& actions) {
  for (const CommandId& id : state.unknown_profile_commands)
    append(actions, Action::Kind::kFailCommand, id).reason = Reason::kUnknownProfile;
  state.unknown_profile_commands.clear();
}

void append_hints(const State& state, Command& command, Actions& actions) {
  const PolicyOptions& options = state.options;
  const SchedulingHints& desired = command.desired_hints;
  const bool is_priority_new = options.are_priorities_honoured && desired.priority != command.hints.priority;
  const bool is_grant_new =
      options.are_memory_grants_honoured && desired.memory_grant_mb != command.hints.memory_grant_mb;
  if (!is_priority_new && !is_grant_new) return;
  command.hints = desired;
  Action& action = append(actions, Action::Kind::kSetSchedulingHints, command.request.id);
  action.priority = desired.priority.value_or(0);
  action.memory_grant_mb = desired.memory_grant_mb;
}

void start_attempt(const State& state, TimePoint now, Command& command, Actions& actions) {
  append_hints(state, command, actions);
  append(actions, Action::Kind::kStartAttempt, command.request.id).engine =
      state.engines[*command.desired_engine_index].id;
  command.attempts += 1;
  command.attempt = Attempt{};
  command.attempt.state = AttemptState::kInFlight;
  command.attempt.engine_index = command.desired_engine_index;
  command.attempt.started_at = command.attempt.reported_at = now;
}

void cancel_attempt(Command& command, Reason reason, Actions& actions) {
  Action& action = append(actions, Action::Kind::kCancelAttempt, command.request.id);
  action.attempt = command.attempts - 1;
  action.reason = reason;
  command.attempt.state = AttemptState::kCancelling;
}

void end_command(const State& state, Command& command, Actions& actions) {
  const bool is_shed = command.desired == DesiredState::kShed;
  Action& action =
      append(actions, is_shed ? Action::Kind::kShedCommand : Action::Kind::kFailCommand, command.request.id);
  if (is_shed) action.retry_after = state.options.retry_after;
  action.reason = command.reason;
  command.is_ended = true;
}

void reconcile(const State& state, TimePoint now, Command& command, Actions& actions) {
  const bool is_in_flight = command.attempt.state == AttemptState::kInFlight;
  if (command.is_ended) {
    // The client left while the attempt ran, so its result is no longer needed.
    if (is_in_flight && state.options.may_cancel) cancel_attempt(command, Reason::kClientGone, actions);
    return;
  }
  switch (command.desired) {
    case DesiredState::kQueued:
      return;
    case DesiredState::kInFlight:
      if (!has_attempt(command)) start_attempt(state, now, command, actions);
      return;
    case DesiredState::kCancelled:
      if (is_in_flight) cancel_attempt(command, command.reason, actions);
      return;
    case DesiredState::kShed:
    case DesiredState::kFailed:
      return end_command(state, command, actions);
  }
}

// A slot is free once its command has ended and no attempt of it is in flight.
void free_slots_of_ended(State& state) {
  std::erase_if(state.active_slots, [&](size_t slot) {
    if (!state.slots[slot].is_ended || has_attempt(state.slots[slot])) return false;
    state.free_slots.push_back(slot);
    return true;
  });
}

void log_engine_health(Engine& engine, Actions& actions) {
  EngineOutlier& outlier = engine.outlier;
  if (outlier.is_ejected == outlier.was_logged_as_ejected) return;
  outlier.was_logged_as_ejected = outlier.is_ejected;
  Action& action = append(actions, Action::Kind::kLogEngineHealth);
  action.engine = engine.id;
  action.health = EngineHealth::kReinstated;
  if (outlier.is_ejected)
    action.health = outlier.is_unresponsive ? EngineHealth::kUnresponsive : EngineHealth::kFailingOrSlow;
}

void set_timer(State& state, TimePoint now, Actions& actions) {
  if (!state.next_tick_at || state.timer_at) return;
  append(actions, Action::Kind::kSetTimer).timer_delay = *state.next_tick_at - now;
  state.timer_at = state.next_tick_at;
}

}  // namespace

void append_actions(State& state, TimePoint now, Actions& actions) {
  fail_unknown_profiles(state, actions);
  for (const size_t slot : state.active_slots) reconcile(state, now, state.slots[slot], actions);
  free_slots_of_ended(state);
  for (Engine& engine : state.engines) log_engine_health(engine, actions);
  set_timer(state, now, actions);
}

}  // namespace firvalve
