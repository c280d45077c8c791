// Checks the decisions of the policy as a whole during shutdown.
#include "policy/policy.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(PolicyShutdown, CommandsAreAnsweredBeforeTheGatewayShutsDown) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  state.engines[0].state = EngineState::kRemoved;
  add_command(state);
  handle(state, at(0), ShutdownStarted{at(500)});
  Actions actions;
  decide(state, at(495), actions);
  EXPECT_EQ(count_of(actions, Action::Kind::kShedCommand), 1);
}

}  // namespace
}  // namespace firvalve
