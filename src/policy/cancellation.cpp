#include "policy/cancellation.h"

#include <algorithm>

#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

constexpr double kBadPlanRatio = 4;          // times the predicted time: past the scatter of estimates
constexpr double kNoProgressRatio = 4;       // times the usual time without a report of progress
constexpr Duration kBadPlanMin = 300ms;      // running time below which nothing is cancelled for its pace
constexpr int kBadPlanCancellationsMax = 2;  // before the estimate is blamed instead
constexpr double kMoveBackoffShare = 0.25;  // of its runtime, times the moves so far: in all about its length

// A deduplicated command that is blocked has not begun: it, too, may go elsewhere inside its window.
bool may_move(const Profile& profile, const Command& command, TimePoint now) {
  if (profile.effect == Effect::kReplayable) return true;
  const TimePoint since =
      command.possible_run ? command.possible_run->started_at : command.attempt.started_at;
  return profile.effect == Effect::kDeduplicated &&
         profile.deduplication_scope == DeduplicationScope::kAllEngines && command.attempt.is_blocked &&
         is_in_deduplication_window(profile, since, now);
}

// Whether a retry may follow a cancellation now, and could end in time.
bool may_retry(const State& state, const Command& command, Duration expected, TimePoint now) {
  return may_move(profile_of(state, command), command, now) && !command.half_closed_at &&
         retry_refusal(state, command, now) == Reason::kNone && command.request.deadline - now >= expected;
}

void cancel(Command& command, Reason reason) {
  command.desired = DesiredState::kCancelled;
  command.reason = reason;
}

void cancel_blocked(Command& command, TimePoint now) {
  cancel(command, Reason::kBlocked);
  // Guards against spending all attempts within moments on engines full alike: each move waits longer.
  command.retry_not_before = now + kMoveBackoffShare * command.predicted_runtime * command.moves++;
}

// By the share done so far, whether it would run several times as long as expected, and a retry is shorter
// than what is left.
bool has_bad_plan(const Attempt& attempt, Duration expected, TimePoint now) {
  if (attempt.share_done <= 0) return false;
  const Duration whole = (attempt.reported_at - attempt.started_at) / attempt.share_done;
  return whole > kBadPlanRatio * expected && whole - (now - attempt.started_at) > expected;
}

// Without a report of progress the plan may be bad, or the attempt lost by an engine that serves others.
bool lacks_progress(const State& state, const Command& command, const Engine& engine, TimePoint now) {
  const Attempt& attempt = command.attempt;
  return attempt.share_done == 0 && !attempt.has_waited &&
         now - attempt.started_at > kNoProgressRatio * usual_runtime(state, command, engine);
}

void review_pace(State& state, Command& command, const Engine& engine, Duration expected, TimePoint now) {
  if (now - command.attempt.started_at < kBadPlanMin ||
      command.bad_plan_cancellations >= kBadPlanCancellationsMax)
    return;
  const bool is_without_progress = lacks_progress(state, command, engine, now);
  if (!is_without_progress && !has_bad_plan(command.attempt, expected, now)) return;
  if (!has_retry_budget(state, now)) return;
  cancel(command, is_without_progress ? Reason::kNoProgress : Reason::kBadPlan);
  command.bad_plan_cancellations += 1;
}

void review_attempt(State& state, Command& command, TimePoint now) {
  const Engine& engine = state.engines[*command.attempt.engine];
  const Duration expected =
      command.predicted_runtime * std::max(1.0, engine.concurrency.usual_slowdown);  // of a retry
  if (!may_retry(state, command, expected, now)) return;
  const bool is_blocked = command.attempt.is_blocked;
  if (!is_blocked && !(engine.outlier.is_unresponsive && is_overdue(state, command, engine, now)))
    return review_pace(state, command, engine, expected, now);
  if (!has_retry_budget(state, now)) return;
  if (is_blocked)
    cancel_blocked(command, now);
  else
    cancel(command, Reason::kEngineUnresponsive);
}

}  // namespace

void review_attempts(State& state, TimePoint now) {
  if (!state.options.may_cancel) return;
  for (const size_t slot : state.in_hand) {
    Command& command = state.slots[slot];
    if (command.attempt.state == AttemptState::kInFlight && !command.is_ended)
      review_attempt(state, command, now);
  }
}

}  // namespace firvalve
