// Reviews the queue: sorts it, ends commands that cannot finish in time, and assigns the others to engines.
#include "policy/admission_queue.h"

#include <algorithm>
#include <utility>

#include "policy/state.h"

namespace firvalve {
namespace {

// Predictions err: by assuming at most this share of the time from admission to the deadline, each command
// gets a first chance.
constexpr double kMaxAssumedRuntimeShare = 0.9;

void shed_or_fail(const State& state, Command& command, TimePoint now, Reason reason) {
  command.desired = is_safe_to_shed(state, command, now) ? DesiredState::kShed : DesiredState::kFailed;
  command.reason = reason;
}

// The benefit that an answer would still bring, per thread-millisecond of predicted work.
double value_density(const State& state, const Command& command, TimePoint now) {
  const Profile& profile = profile_of(state, command);
  const Duration runtime = command.predicted_runtime;
  const bool is_late =
      now + runtime > command.admitted_at + profile.latency_target + profile.target_slowdown * runtime;
  return profile.benefit * (is_late ? profile.late_share : 1) / to_ms(command.predicted_work);
}

void sort_queue(State& state, TimePoint now) {
  std::vector<size_t>& queued = state.queue.queued;
  queued.clear();
  for (const size_t slot : state.active_slots) {
    const Command& command = state.slots[slot];
    if (!command.is_ended && !has_attempt(command) && command.desired == DesiredState::kQueued)
      queued.push_back(slot);
  }
  std::sort(queued.begin(), queued.end(), [&](size_t one, size_t other) {
    const Command &a = state.slots[one], &b = state.slots[other];
    const double value = value_density(state, a, now), other_value = value_density(state, b, now);
    return value != other_value ? value > other_value : a.request.id.text < b.request.id.text;
  });
}

// Returns why a queued command must end now, or kNone if it may stay. Avoids work that the client will not
// wait for, for instance after clients have become less patient.
Reason end_reason(const State& state, const Command& command, TimePoint now) {
  const Reason refusal = retry_refusal(state, command, now);
  if (refusal != Reason::kNone) return refusal;
  const TimePoint deadline = command.request.deadline;
  const Duration expected = command.predicted_runtime * state.concurrency.usual_slowdown;
  const Duration assumed = std::min(expected, kMaxAssumedRuntimeShare * (deadline - command.admitted_at));
  return now + assumed > deadline - kDeadlineMargin ? Reason::kDeadlineTooClose : Reason::kNone;
}

// Reserves the engines that a command restricted to some machine types waits for. Otherwise commands that may
// run anywhere would take every bit of capacity that comes free there. A reservation may delay loads where no
// other machine has capacity.
void reserve_engines(State& state, const Profile& profile) {
  if (profile.machine_types.empty()) return;
  for (Engine& engine : state.engines)
    if (is_allowed_on(profile, engine)) engine.is_reserved = engine.is_reserved_this_review = true;
}

void assign_engine(State& state, Command& command, size_t index, TimePoint now) {
  const Profile& profile = profile_of(state, command);
  if (command.attempts > 0)
    count_retry(state, now);  // counted now, so that the next command in the queue sees it
  command.desired = DesiredState::kInFlight;
  command.desired_engine_index = index;
  command.desired_hints = scheduling_hints_for(state, command);
  Engine& engine = state.engines[index];
  engine.in_flight.attempts += 1;
  engine.in_flight.threads += profile.threads;
  if (is_short(state, command)) engine.in_flight.short_threads += 1;
  engine.in_flight.work += command.predicted_work;
  record_slow_start_work(engine, profile.costs.mean_predicted_work, now);
}

void review_queued_command(State& state, Command& command, TimePoint now, bool is_pool_overloaded) {
  if (const Reason reason = end_reason(state, command, now); reason != Reason::kNone)
    return shed_or_fail(state, command, now, reason);
  // No attempt starts without reserved storage: the engine would have to hold the result.
  if (command.lacks_reservation) return;
  if (command.is_heavy && is_pool_overloaded) {
    if (now - command.admitted_at >= kMaxHeavyWait)
      shed_or_fail(state, command, now, Reason::kPoolOverloaded);
    return;
  }
  if (now < command.retry_not_before || !is_next_for_ordering_key(state, command, now)) return;
  if (command.attempts > 0 && !has_retry_budget(state, now)) return;
  if (const std::optional<size_t> index = choose_engine(state, command, now))
    assign_engine(state, command, *index, now);
  else
    reserve_engines(state, profile_of(state, command));
}

}  // namespace

void review_queue(State& state, TimePoint now) {
  for (Engine& engine : state.engines)
    engine.is_reserved = std::exchange(engine.is_reserved_this_review, false);
  sort_queue(state, now);
  const bool is_overloaded = is_pool_overloaded(state);
  for (const size_t slot : state.queue.queued)
    review_queued_command(state, state.slots[slot], now, is_overloaded);
}

bool is_next_for_ordering_key(const State& state, const Command& command, TimePoint now) {
  const std::optional<uint64_t>& key = command.request.ordering_key;
  if (!profile_of(state, command).is_ordered || !key) return true;
  for (const size_t slot : state.active_slots) {
    const Command& earlier = state.slots[slot];
    if (&earlier == &command) break;
    if (earlier.request.ordering_key == key && profile_of(state, earlier).is_ordered) return false;
  }
  // The cooldown does not apply to retries: a command is not delayed by its own earlier attempts, only by
  // those of other commands with its key.
  if (command.attempts > 0) return true;
  const std::vector<KeyCooldown>& cooldowns = state.queue.key_cooldowns;
  return std::none_of(cooldowns.begin(), cooldowns.end(), [&](const KeyCooldown& cooldown) {
    return cooldown.key == *key && now < cooldown.until;
  });
}

void start_key_cooldown(State& state, const Command& command, TimePoint now) {
  const std::optional<uint64_t>& key = command.request.ordering_key;
  if (profile_of(state, command).is_ordered && key && state.options.key_cooldown > Duration{})
    state.queue.key_cooldowns.push_back({*key, now + state.options.key_cooldown});
}

void erase_expired_key_cooldowns(State& state, TimePoint now) {
  std::erase_if(state.queue.key_cooldowns,
                [&](const KeyCooldown& cooldown) { return now >= cooldown.until; });
}

}  // namespace firvalve
