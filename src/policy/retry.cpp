// Rules for further attempts: effect, deduplication scope and window, number of attempts and retry budget.
#include "policy/retry.h"

#include <algorithm>

#include "policy/engine_selection.h"
#include "policy/policy.h"
#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

constexpr Duration kDeduplicationMargin = 200ms;  // part of the window left for the way to the engine
// Bounds the memory at any rate of admissions. Commands beyond it do not widen the budget.
constexpr size_t kMaxCountedAdmissions = 16384;
constexpr double kResubmitWindowShare = 0.5;  // share of the window that a client has to send again
constexpr Duration kHalfCloseGrace = 50ms;    // after a half-close; at 100 ms a closed client counts as gone

bool has_client_left(const Command& command, TimePoint now) {
  return command.half_closed_at && now > *command.half_closed_at + kHalfCloseGrace;
}

// Whether the engine would deduplicate a retry: it shares the deduplication scope of the engine where the
// command may have run.
bool is_in_scope(const State& state, const Command& command, const Engine& engine) {
  const Engine& first = state.engines[command.possible_run->engine_index];
  switch (profile_of(state, command).deduplication_scope) {
    case DeduplicationScope::kAllEngines:
      return true;
    case DeduplicationScope::kZone:
      return engine.zone == first.zone;
    case DeduplicationScope::kCell:
      return engine.cell == first.cell;
  }
  return false;
}

// Whether the command may run on the engine now: engine state, placement, client and effect allow it.
bool may_run_on(const State& state, const Command& command, const Engine& engine, TimePoint now) {
  const Profile& profile = profile_of(state, command);
  if (engine.state != EngineState::kReady || !is_allowed_on(profile, engine) || has_client_left(command, now))
    return false;
  if (!command.possible_run || profile.effect == Effect::kReplayable) return true;
  if (profile.effect == Effect::kNonReplayable) return false;
  return is_in_scope(state, command, engine) &&
         is_in_deduplication_window(profile, command.possible_run->started_at, now);
}

}  // namespace

void count_admission(State& state, TimePoint now) {
  RetryBudget& budget = state.retry_budget;
  if (!state.options.retry_budget.is_limited) return;
  budget.admitted.erase_before(now - state.options.retry_budget.window);
  if (budget.admitted.size() < kMaxCountedAdmissions) budget.admitted.add(now);
}

void count_retry(State& state, TimePoint now) {
  if (state.options.retry_budget.is_limited) state.retry_budget.retries.add(now);
}

bool has_retry_budget(State& state, TimePoint now) {
  const RetryBudgetOptions& options = state.options.retry_budget;
  RetryBudget& budget = state.retry_budget;
  if (!options.is_limited) return true;
  budget.admitted.erase_before(now - options.window);
  budget.retries.erase_before(now - options.window);
  return static_cast<double>(budget.retries.size()) + 1 <=
         options.allowance + options.share * static_cast<double>(budget.admitted.size());
}

bool is_in_deduplication_window(const Profile& profile, TimePoint since, TimePoint now) {
  return now + kDeduplicationMargin < since + profile.deduplication_window;
}

Reason retry_refusal(const State& state, const Command& command, TimePoint now) {
  const Profile& profile = profile_of(state, command);
  if (has_client_left(command, now)) return Reason::kClientGone;
  if (command.attempts >= state.options.max_attempts) return Reason::kAttemptsExhausted;
  if (!command.possible_run || profile.effect == Effect::kReplayable) return Reason::kNone;
  const bool is_safe = profile.effect == Effect::kDeduplicated &&
                       is_in_deduplication_window(profile, command.possible_run->started_at, now);
  return is_safe ? Reason::kNone : Reason::kUnsafeToRetry;
}

bool may_attempt(const State& state, const Command& command, const Engine& engine, TimePoint now) {
  return !command.is_ended && !has_attempt(command) && command.attempts < state.options.max_attempts &&
         may_run_on(state, command, engine, now);
}

bool may_start_attempt(const State& state, const CommandId& id, TimePoint now) {
  const Command* const command = find_command(state, id);
  return command && command->attempt.state == AttemptState::kInFlight && !command->is_ended &&
         may_run_on(state, *command, state.engines[*command->attempt.engine_index], now);
}

// A client must not be advised to send a command again if the engines may no longer recognize the duplicate:
// the command would run twice. This may deny a deduplicated command late in its window a retry that would
// still have been deduplicated.
bool is_safe_to_shed(const State& state, const Command& command, TimePoint now) {
  const Profile& profile = profile_of(state, command);
  if (profile.effect == Effect::kReplayable || (!command.possible_run && !has_attempt(command))) return true;
  if (profile.effect != Effect::kDeduplicated ||
      profile.deduplication_scope != DeduplicationScope::kAllEngines)
    return false;
  const TimePoint resubmitted_at = now + std::max(state.options.retry_after.value_or(Duration{}),
                                                  kResubmitWindowShare * profile.deduplication_window);
  const TimePoint since =
      command.possible_run ? command.possible_run->started_at : command.attempt.started_at;
  return is_in_deduplication_window(profile, since, resubmitted_at);
}

void record_possible_run(Command& command, Outcome outcome) {
  const bool never_ran = outcome == Outcome::kQueueFull || outcome == Outcome::kConnectFailed ||
                         outcome == Outcome::kCancelledBeforeStart;
  if (!never_ran && !command.possible_run)
    command.possible_run = PossibleRun{*command.attempt.engine_index, command.attempt.started_at};
}

}  // namespace firvalve
