// Checks which attempts in flight are cancelled, and what follows for the engine and the retry.
#include "policy/cancellation.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(Cancellation, CancelsAttemptFarSlowerThanPredicted) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  command.attempt.fraction_done = 0.1;
  command.attempt.reported_at = at(400);  // projected runtime 4 s, predicted 100 ms
  review_attempts(state, at(400));
  EXPECT_EQ(command.desired, DesiredState::kCancelled);
}

TEST(Cancellation, CancelsReaderBlockedByALoad) {
  Profile reader = make_profile(Effect::kReplayable), load = make_profile(Effect::kNonReplayable);
  reader.waits_for_loads = load.is_load = true;
  State state = state_with(2, {reader, load});
  start_attempt(state, add_command(state, 1), 0, at(0));
  Command& command = add_command(state);
  state.slots[0].request.table_group = command.request.table_group = 3;
  EXPECT_EQ(choose_engine(state, command, at(10)), 1u);
  start_attempt(state, command, 1, at(10));
  // Blocked by a load of another gateway.
  handle(state, at(500), AttemptStatus{command.request.id, 0, AttemptStatusKind::kWaiting, 2});
  review_attempts(state, at(500));
  EXPECT_EQ(command.desired, DesiredState::kCancelled);
  EXPECT_TRUE(is_blocked_by_load(state, command, state.engines[1]));
}

TEST(Cancellation, CancelsAttemptWithoutProgressOnAResponsiveEngine) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  state.profiles[0].costs.mean_predicted_work = span(100);
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  state.engines[0].outlier.last_response_at = at(990);
  review_attempts(state, at(1000));
  EXPECT_EQ(command.desired, DesiredState::kCancelled);
  EXPECT_FALSE(state.engines[0].outlier.is_unresponsive);
}

TEST(Cancellation, CancelsAttemptThatWaitsForMemoryAndAcceptsSmallerCommands) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  command.request.estimated_memory_mb = 100;
  start_attempt(state, command, 0, at(0));
  handle(state, at(5), AttemptStatus{command.request.id, 0, AttemptStatusKind::kWaiting, 1});
  review_attempts(state, at(5));
  EXPECT_EQ(command.desired, DesiredState::kCancelled);
  Command& large = add_command(state);
  Command& small = add_command(state);
  large.request.estimated_memory_mb = 200;
  EXPECT_EQ(choose_engine(state, large, at(10)), std::nullopt);
  EXPECT_EQ(choose_engine(state, small, at(10)), 0u);
}

TEST(Cancellation, CancelsBlockedDeduplicatedAttemptWithinItsWindowWithBackoff) {
  Profile profile = make_profile(Effect::kDeduplicated);
  profile.deduplication_window = span(5000);
  State state = state_with(1, {profile});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  handle(state, at(5), AttemptStatus{command.request.id, 0, AttemptStatusKind::kWaiting, 1});
  review_attempts(state, at(4900));
  EXPECT_EQ(command.desired, DesiredState::kInFlight);
  command.blocked_cancellations = 2;
  review_attempts(state, at(10));
  EXPECT_EQ(command.desired, DesiredState::kCancelled);
  EXPECT_GT(command.retry_not_before, at(10));
}

}  // namespace
}  // namespace firvalve
