// Checks that no retry repeats a command's effect and that retries stay within their budget.
#include "policy/retry.h"

#include "policy/admission_queue.h"
#include "policy/helpers.h"
#include "policy/reconciliation.h"

namespace firvalve {
namespace {

struct RetryAfterOutcome : testing::TestWithParam<std::tuple<Outcome, bool>> {};

TEST_P(RetryAfterOutcome, NonReplayableIsRetriedOnlyIfItNeverRan) {
  const auto [outcome, may_retry] = GetParam();
  State state = state_with(1, {make_profile(Effect::kNonReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  handle(state, at(100), attempt_finished(command, outcome));
  EXPECT_EQ(may_attempt(state, command, state.engines[0], at(100)), may_retry);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RetryAfterOutcome,
    testing::Values(std::tuple(Outcome::kFailed, false), std::tuple(Outcome::kQueueFull, true),
                    std::tuple(Outcome::kTimedOut, false), std::tuple(Outcome::kConnectFailed, true),
                    std::tuple(Outcome::kReset, false), std::tuple(Outcome::kCancelled, false),
                    std::tuple(Outcome::kCancelledBeforeStart, true)));

TEST(Retry, NonReplayableThatMayHaveRunFailsAndIsNotShed) {
  State state = state_with(1, {make_profile(Effect::kNonReplayable)});
  Command& command = add_command(state);
  command.attempts = 1;
  command.possible_run = PossibleRun{};
  review_queue(state, at(100));
  EXPECT_EQ(command.desired, DesiredState::kFailed);
}

TEST(Retry, DeduplicatedStaysInItsScopeAndWindow) {
  Profile profile = make_profile(Effect::kDeduplicated);
  profile.deduplication_scope = DeduplicationScope::kZone;
  profile.deduplication_window = span(5000);
  State state = state_with(2, {profile});
  put_in_zone(state, 0, "a");
  put_in_zone(state, 1, "b");
  Command& command = add_command(state);
  command.attempts = 1;
  command.possible_run = PossibleRun{0, at(100)};
  EXPECT_TRUE(may_attempt(state, command, state.engines[0], at(4000)));
  EXPECT_FALSE(may_attempt(state, command, state.engines[1], at(4000)));
  EXPECT_FALSE(may_attempt(state, command, state.engines[0], at(5050)));
}

// A client that is shed may send the command again, so a deduplicated command that may have run is shed only
// while the engines will still recognize the duplicate by then.
TEST(Retry, DeduplicatedThatMayHaveRunIsShedEarlyInItsWindowAndFailsLater) {
  Profile profile = make_profile(Effect::kDeduplicated);
  profile.deduplication_window = span(4000);
  for (const auto& [now, expected] :
       {std::pair<Ms, DesiredState>{1000, DesiredState::kShed}, {2500, DesiredState::kFailed}}) {
    State state = state_with(1, {profile});
    Command& command = add_command(state);
    command.attempts = state.options.max_attempts;
    command.possible_run = PossibleRun{0, at(100)};
    review_queue(state, at(now));
    EXPECT_EQ(command.desired, expected) << now;
  }
}

TEST(Retry, DeduplicatedFailsImmediatelyAfterItsWindow) {
  Profile profile = make_profile(Effect::kDeduplicated);
  profile.deduplication_window = span(1000);
  State state = state_with(1, {profile});
  Command& command = add_command(state);
  command.attempts = 1;
  command.possible_run = PossibleRun{0, at(100)};
  review_queue(state, at(1000));
  EXPECT_EQ(command.desired, DesiredState::kFailed);
  command.desired = DesiredState::kInFlight;
  command.attempt.state = AttemptState::kInFlight;
  command.attempt.engine_index = command.desired_engine_index = 0;
  EXPECT_TRUE(may_start_attempt(state, command.request.id, at(800)));
  // The connection was established too late.
  EXPECT_FALSE(may_start_attempt(state, command.request.id, at(1000)));
}

TEST(Retry, OneAttemptAtATimeUpToTheMaximum) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  EXPECT_FALSE(may_attempt(state, command, state.engines[0], at(10)));
  command.attempt.state = AttemptState::kNone;
  EXPECT_TRUE(may_attempt(state, command, state.engines[0], at(10)));
  command.attempts = state.options.max_attempts;
  EXPECT_FALSE(may_attempt(state, command, state.engines[0], at(10)));
}

TEST(RetryBudget, SlidesWithTheWindow) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  state.options.retry_budget.is_limited = true;
  state.options.retry_budget.allowance = 1;
  state.options.retry_budget.share = 0.1;
  state.options.retry_budget.window = span(5000);
  for (int i = 0; i < 10; ++i) state.retry_budget.admitted.add(at(100));
  EXPECT_TRUE(has_retry_budget(state, at(100)));
  state.retry_budget.retries.add(at(100));
  state.retry_budget.retries.add(at(200));
  EXPECT_FALSE(has_retry_budget(state, at(5000)));  // 2 retries used of 1 allowed plus 10 % of 10 commands
  EXPECT_TRUE(has_retry_budget(state, at(5250)));   // all events have left the window
}

// Guards against memory that grows with each command: admissions were kept until the next retry, or for ever.
TEST(RetryBudget, AdmissionsOutsideTheWindowAreForgottenWithoutRetries) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  state.options.retry_budget = {.is_limited = true, .allowance = 1, .share = 0.1, .window = span(5000)};
  for (int i = 0; i < 20000; ++i) count_admission(state, at(i));
  EXPECT_LE(state.retry_budget.admitted.size(), 5001u);
  for (int i = 0; i < 100000; ++i) count_admission(state, at(20000));
  EXPECT_LT(state.retry_budget.admitted.size(), 20000u);
  EXPECT_TRUE(has_retry_budget(state, at(20000)));
}

TEST(RetryBudget, NothingIsCountedIfRetriesAreUnlimited) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  for (int i = 0; i < 100; ++i) count_admission(state, at(i)), count_retry(state, at(i));
  EXPECT_EQ(state.retry_budget.admitted.size() + state.retry_budget.retries.size(), 0u);
}

TEST(RetryBudget, RetriesOfOneReviewShareTheBudget) {
  State state = state_with(4, {make_profile(Effect::kReplayable)});
  state.options.retry_budget.is_limited = true;
  state.options.retry_budget.allowance = 1;
  state.options.retry_budget.window = span(5000);
  for (int i = 0; i < 3; ++i) add_command(state).attempts = 1;
  review_queue(state, at(10));
  Actions actions;
  append_actions(state, at(10), actions);
  EXPECT_EQ(count_of(actions, Action::Kind::kStartAttempt), 1);
}

}  // namespace
}  // namespace firvalve
