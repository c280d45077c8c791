// Checks which engines are ejected and reinstated.
#include "policy/outlier_detection.h"

#include "policy/cancellation.h"
#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(OutlierDetection, FailingEngineIsSkipped) {
  State state = state_with(2, {make_profile(Effect::kReplayable, 2)});
  Command& command = add_command(state);
  state.engines[0].outlier.attempts = 10;
  state.engines[0].outlier.failures = 4;
  review_engines(state, at(0));
  EXPECT_EQ(choose_engine(state, command, at(10)), 1u);
}

TEST(OutlierDetection, UnresponsiveEngineIsEjectedAndItsReplayableAttemptsAreCancelled) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  review_engines(state, at(5000));
  EXPECT_TRUE(state.engines[0].outlier.is_ejected);
  review_attempts(state, at(5000));
  EXPECT_EQ(command.desired, DesiredState::kCancelled);
}

TEST(OutlierDetection, ConsecutiveSuccessfulProbesReinstateAFailingEngine) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  state.engines[0].outlier.failures = state.engines[0].outlier.attempts = 9;
  review_engines(state, at(0));
  for (int i = 0; i < 4; ++i) {
    Command& command = add_command(state);
    start_attempt(state, command, 0, at(0));
    handle(state, at(100), attempt_finished(command, Outcome::kOk));
  }
  review_engines(state, at(100));
  EXPECT_FALSE(state.engines[0].outlier.is_ejected);
}

TEST(OutlierDetection, UnderestimatedCommandDoesNotEjectItsEngine) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  state.profiles[0].costs.mean_predicted_work = span(200);
  Command& command = add_command(state);
  command.predicted_work = command.predicted_runtime = span(10);  // an estimate far too low
  start_attempt(state, command, 0, at(0));
  review_engines(state, at(700));
  EXPECT_FALSE(state.engines[0].outlier.is_ejected);
}

TEST(OutlierDetection, WaitingAttemptsAndGatewayStallsDoNotEjectAnEngine) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  handle(state, at(5), AttemptStatus{command.request.id, 0, AttemptStatusKind::kWaiting, 1});
  review_engines(state, at(5000));
  EXPECT_FALSE(state.engines[0].outlier.is_ejected);
  command.attempt.is_waiting = false;
  state.next_tick_at = at(20);
  handle(state, at(5000), TimerFired{});
  review_engines(state, at(5000));
  EXPECT_FALSE(state.engines[0].outlier.is_ejected);
  review_engines(state, at(6000));
  EXPECT_TRUE(state.engines[0].outlier.is_ejected);
}

}  // namespace
}  // namespace firvalve
