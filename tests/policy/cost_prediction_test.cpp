// Checks how the baseline of a profile is learned.
#include "policy/cost_prediction.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(CostPrediction, BaselineIsGuessedUntilItIsMeasured) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  for (int i = 0; i < 5; ++i) {
    Command& command = add_command(state);
    command.request.estimated_work = span(100);
    start_attempt(state, command, 0, at(0));
    AttemptFinished finished = attempt_finished(command, Outcome::kOk);
    finished.elapsed = span(400);
    handle(state, at(400), finished);
  }
  EXPECT_GT(state.profiles[0].costs.baseline, 1.5);  // from the guess of 1 towards the measured 4
  EXPECT_LT(state.profiles[0].costs.baseline, 4);
}

}  // namespace
}  // namespace firvalve
