// Updates commands, engines and learned values when an attempt reports its status or finishes.
#include "policy/attempt_events.h"

#include <algorithm>

#include "policy/state.h"

namespace firvalve {
namespace {

// Returns the command if this attempt of it is in flight, or null if the attempt is over.
Command* find_attempt(State& state, const CommandId& id, int attempt) {
  Command* const command = find_command(state, id);
  return command && has_attempt(*command) && attempt == command->attempts - 1 ? command : nullptr;
}

// An attempt that waits for memory behind other commands has done no work yet, so it can move to an engine
// with free memory without loss. Commands that need less memory may still fit on this engine.
void handle_memory_wait(State& state, TimePoint now, Command& command, Engine& engine) {
  command.attempt.is_blocked = true;
  back_off_for_memory(engine, now, command.request.estimated_memory_mb);
  learn_slowdown_from_memory_wait(state, command);
}

void handle_load_wait(State& state, TimePoint now, Command& command, const Engine& engine) {
  if (is_blocked_by_load(state, command, engine)) return;
  record_table_lock(state, command, engine.id, now);
  command.attempt.is_blocked = true;
}

void remove_from_in_flight(const State& state, const Command& command, Engine& engine) {
  InFlightTotals& in_flight = engine.in_flight;
  in_flight.attempts -= 1;
  in_flight.threads -= profile_of(state, command).threads;
  if (is_short(state, command)) in_flight.short_threads -= 1;
  in_flight.work = std::max(Duration{}, in_flight.work - command.predicted_work);
}

// Times measured across a stall of this gateway say nothing about the engine; only the work and memory that
// the answer reports are learned then.
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
  record_cached_tables(state.engines[*command.attempt.engine_index], command);
}

void learn_from_outcome(State& state, TimePoint now, const Command& command, const AttemptFinished& event) {
  Engine& engine = state.engines[*command.attempt.engine_index];
  const Outcome outcome = event.outcome;
  decay_counts(engine, now);
  decay_pool_counts(state, now);
  count_outcome(engine, outcome);
  if (engine.is_in_pool && command.is_heavy) count_pool_outcome(state, outcome);
  if (outcome == Outcome::kOk) {
    record_success(state, engine, now);
    learn_from_success(state, now, command, event);
  }
  if (outcome == Outcome::kOk || outcome == Outcome::kFailed || outcome == Outcome::kQueueFull)
    engine.outlier.last_response_at = now;
  update_rejection_backoff(engine, now, outcome);
}

// Whether the attempt may still run on its engine. If so, its ordering key stays blocked to preserve the
// order of commands with that key.
bool may_still_run(Outcome outcome) {
  return outcome == Outcome::kTimedOut || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
}

void requeue(Command& command, TimePoint now, Outcome outcome) {
  command.queued_since = now;
  command.desired = DesiredState::kQueued;
  if (outcome != Outcome::kTimedOut && now < command.request.deadline - kDeadlineMargin) return;
  command.desired = DesiredState::kFailed;
  command.reason = Reason::kDeadlineExceeded;
}

}  // namespace

void handle_attempt_status(State& state, TimePoint now, const AttemptStatus& event) {
  Command* const command = find_attempt(state, event.id, event.attempt);
  if (!command) return;
  Attempt& attempt = command->attempt;
  Engine& engine = state.engines[*attempt.engine_index];
  engine.outlier.last_response_at = attempt.reported_at = now;
  attempt.is_waiting = event.kind == AttemptStatusKind::kWaiting;
  attempt.has_waited |= attempt.is_waiting;
  if (event.kind == AttemptStatusKind::kProgress) {
    attempt.fraction_done = event.value;
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
  remove_from_in_flight(state, *command, state.engines[*command->attempt.engine_index]);
  learn_from_outcome(state, now, *command, event);
  record_possible_run(*command, event.outcome);
  remember_run(state, *command);
  if (may_still_run(event.outcome)) start_key_cooldown(state, *command, now);
  command->attempt.state = AttemptState::kNone;
  command->is_ended |= event.is_command_finished;
  if (!command->is_ended) requeue(*command, now, event.outcome);
}

}  // namespace firvalve
