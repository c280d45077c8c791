#include "policy/attempt_events.h"

#include <algorithm>

#include "policy/state.h"

namespace firvalve {
namespace {

// The command whose attempt in flight it is; null: that attempt is over.
Command* find_attempt(State& state, const CommandId& id, int attempt) {
  Command* const command = find_command(state, id);
  return command && has_attempt(*command) && attempt == command->attempts - 1 ? command : nullptr;
}

// Guards against waiting for memory behind others' heavy commands while other engines have some: it has done
// nothing yet and goes elsewhere at no loss. What needs less may still fit here.
void handle_memory_wait(State& state, TimePoint now, Command& command, Engine& engine) {
  command.attempt.is_blocked = true;
  back_off_for_memory(engine, now, command.request.estimated_memory_mb);
  learn_slowdown_from_memory_wait(state, command);
}

void handle_load_wait(State& state, TimePoint now, Command& command, const Engine& engine) {
  if (is_blocked_by_load(state, command, engine)) return;
  note_locked_tables(state, command, engine.id, now);
  command.attempt.is_blocked = true;
}

void release_load(const State& state, const Command& command, Engine& engine) {
  EngineLoad& load = engine.in_flight;
  load.attempts -= 1;
  load.threads -= profile_of(state, command).threads;
  if (is_short(state, command)) load.short_threads -= 1;
  load.work = std::max(Duration{}, load.work - command.predicted_work);
}

// Times that were taken across a stall of this gateway say nothing of the engine.
void learn_from_success(State& state, TimePoint now, const Command& command, const AttemptFinished& event) {
  Profile& profile = profile_of(state, command);
  const bool are_times_distorted = state.resumed_at == now;
  profile.costs.are_costs_reported = event.work.has_value();
  if (are_times_distorted && !event.work) return;
  learn_work(state, command, event);
  learn_memory(profile, command, event);
  if (are_times_distorted) return;
  learn_baseline(state, command, event);
  learn_slowdown(state, command, event);
  note_cached_tables(state.engines[*command.attempt.engine], command);
}

void learn_from_outcome(State& state, TimePoint now, const Command& command, const AttemptFinished& event) {
  Engine& engine = state.engines[*command.attempt.engine];
  const Outcome outcome = event.outcome;
  fade_counts(engine, now);
  fade_pool_counts(state, now);
  count_outcome(engine, outcome);
  if (engine.is_in_pool && command.is_heavy) count_pool_outcome(state, outcome);
  if (outcome == Outcome::kOk) {
    note_success(state, engine, now);
    learn_from_success(state, now, command, event);
  }
  if (outcome == Outcome::kOk || outcome == Outcome::kFailed || outcome == Outcome::kQueueFull)
    engine.outlier.last_sign_at = now;
  note_rejection_or_start(engine, now, outcome);
}

// Guards the order of commands with one ordering key: what may still run holds the key.
bool may_still_run(Outcome outcome) {
  return outcome == Outcome::kTimedOut || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
}

void queue_again(Command& command, TimePoint now, Outcome outcome) {
  command.queued_since = now;
  command.desired = DesiredState::kQueued;
  if (outcome != Outcome::kTimedOut && now < command.request.deadline - kEndSlack) return;
  command.desired = DesiredState::kFailed;
  command.reason = Reason::kDeadlineExceeded;
}

}  // namespace

void handle_attempt_status(State& state, TimePoint now, const AttemptStatus& event) {
  Command* const command = find_attempt(state, event.id, event.attempt);
  if (!command) return;
  Attempt& attempt = command->attempt;
  Engine& engine = state.engines[*attempt.engine];
  engine.outlier.last_sign_at = attempt.reported_at = now;
  attempt.is_waiting = event.kind == AttemptStatusKind::kWaiting;
  attempt.has_waited |= attempt.is_waiting;
  if (event.kind == AttemptStatusKind::kProgress) {
    attempt.share_done = event.value;
    learn_slowdown_from_progress(state, now, *command, event.value);
  } else if (attempt.is_waiting && event.value == kWaitingForMemory) {
    handle_memory_wait(state, now, *command, engine);
  } else if (attempt.is_waiting && event.value == kWaitingForLoad) {
    handle_load_wait(state, now, *command, engine);
  }
}

void handle_attempt_finished(State& state, TimePoint now, const AttemptFinished& event) {
  Command* const command = find_attempt(state, event.id, event.attempt);
  if (!command) return;
  release_load(state, *command, state.engines[*command->attempt.engine]);
  learn_from_outcome(state, now, *command, event);
  note_possible_run(*command, event.outcome);
  if (may_still_run(event.outcome)) start_key_cooldown(state, *command, now);
  command->attempt.state = AttemptState::kNone;
  command->is_ended |= event.is_command_finished;
  if (!command->is_ended) queue_again(*command, now, event.outcome);
}

}  // namespace firvalve
