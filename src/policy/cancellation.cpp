// Reviews each attempt in flight and cancels it if a retry may do better.
#include "policy/cancellation.h"

#include <algorithm>

#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

constexpr double kBadPlanRatio = 4;     // times the predicted runtime; beyond the scatter of estimates
constexpr double kNoProgressRatio = 4;  // times the usual runtime without a progress report
constexpr Duration kMinBadPlanRuntime = 300ms;  // a younger attempt is not cancelled for being slow
constexpr int kMaxBadPlanCancellations = 2;     // per command; after that the estimate is taken to be wrong
// The delay of a retry after a blocked attempt is this share of the predicted runtime, times the number of
// earlier blocked cancellations. The delays add up to about one runtime.
constexpr double kBlockedBackoffShare = 0.25;

// A blocked attempt has not begun, so a deduplicated command may also run again on another engine within its
// deduplication window.
bool may_run_again(const Profile& profile, const Command& command, TimePoint now) {
  if (profile.effect == Effect::kReplayable) return true;
  const TimePoint since =
      command.possible_run ? command.possible_run->started_at : command.attempt.started_at;
  return profile.effect == Effect::kDeduplicated &&
         profile.deduplication_scope == DeduplicationScope::kAllEngines && command.attempt.is_blocked &&
         is_in_deduplication_window(profile, since, now);
}

// Whether a retry may follow a cancellation now, and could end in time.
bool may_retry(const State& state, const Command& command, Duration retry_runtime, TimePoint now) {
  return may_run_again(profile_of(state, command), command, now) && !command.half_closed_at &&
         retry_refusal(state, command, now) == Reason::kNone &&
         command.request.deadline - now >= retry_runtime;
}

void cancel(Command& command, Reason reason) {
  command.desired = DesiredState::kCancelled;
  command.reason = reason;
}

void cancel_blocked(Command& command, TimePoint now) {
  cancel(command, Reason::kBlocked);
  // Each cancellation delays the retry longer. Otherwise all attempts would be spent within moments on
  // engines that are equally full.
  command.retry_not_before =
      now + kBlockedBackoffShare * command.predicted_runtime * command.blocked_cancellations++;
}

// Whether, extrapolated from its progress, the attempt runs several times as long as a retry would, and the
// retry is shorter than the rest of the attempt.
bool has_bad_plan(const Attempt& attempt, Duration retry_runtime, TimePoint now) {
  if (attempt.fraction_done <= 0) return false;
  const Duration projected_runtime = (attempt.reported_at - attempt.started_at) / attempt.fraction_done;
  return projected_runtime > kBadPlanRatio * retry_runtime &&
         projected_runtime - (now - attempt.started_at) > retry_runtime;
}

// Whether a progress report is long overdue: the plan may be bad, or the engine may have lost the attempt
// while it serves others.
bool lacks_progress(const State& state, const Command& command, const Engine& engine, TimePoint now) {
  const Attempt& attempt = command.attempt;
  return attempt.fraction_done == 0 && !attempt.has_waited &&
         now - attempt.started_at > kNoProgressRatio * usual_runtime(state, command, engine);
}

void review_progress(State& state, Command& command, const Engine& engine, Duration retry_runtime,
                     TimePoint now) {
  if (now - command.attempt.started_at < kMinBadPlanRuntime ||
      command.bad_plan_cancellations >= kMaxBadPlanCancellations)
    return;
  const bool is_without_progress = lacks_progress(state, command, engine, now);
  if (!is_without_progress && !has_bad_plan(command.attempt, retry_runtime, now)) return;
  if (!has_retry_budget(state, now)) return;
  cancel(command, is_without_progress ? Reason::kNoProgress : Reason::kBadPlan);
  command.bad_plan_cancellations += 1;
}

void review_attempt(State& state, Command& command, TimePoint now) {
  const Engine& engine = state.engines[*command.attempt.engine_index];
  const Duration retry_runtime = command.predicted_runtime * std::max(1.0, engine.concurrency.usual_slowdown);
  if (!may_retry(state, command, retry_runtime, now)) return;
  const bool is_blocked = command.attempt.is_blocked;
  if (!is_blocked && !(engine.outlier.is_unresponsive && is_overdue(state, command, engine, now)))
    return review_progress(state, command, engine, retry_runtime, now);
  if (!has_retry_budget(state, now)) return;
  if (is_blocked)
    cancel_blocked(command, now);
  else
    cancel(command, Reason::kEngineUnresponsive);
}

}  // namespace

void review_attempts(State& state, TimePoint now) {
  if (!state.options.may_cancel) return;
  for (const size_t slot : state.active_slots) {
    Command& command = state.slots[slot];
    if (command.attempt.state == AttemptState::kInFlight && !command.is_ended)
      review_attempt(state, command, now);
  }
}

}  // namespace firvalve
