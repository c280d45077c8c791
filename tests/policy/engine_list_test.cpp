#include "policy/engine_list.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

// Engines that drain or leave.

TEST(EngineList, NoAttemptOnAnEngineThatDrainsOrWasRemoved) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  EngineInfo draining;
  draining.engine = EngineId{10};
  draining.state = EngineState::kDraining;
  handle(state, at(50), EngineListUpdate{true, {draining}});  // a complete list: 20 is removed
  EXPECT_FALSE(may_attempt(state, command, state.engines[0], at(50)));
  EXPECT_FALSE(may_attempt(state, command, state.engines[1], at(50)));
}

TEST(EngineList, ANewEngineKeepsThePlacesOfTheOthers) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 1, at(0));
  EngineInfo early;
  early.engine = EngineId{5};
  handle(state, at(50), EngineListUpdate{false, {early}});
  EXPECT_EQ(state.engines[*command.attempt.engine].id, EngineId{20});
}

}  // namespace
}  // namespace firvalve
