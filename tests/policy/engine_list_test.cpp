// Checks that endpoint list updates stop attempts on leaving engines and keep engine indices valid.
#include "policy/engine_list.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(EngineList, NoAttemptOnDrainingOrRemovedEngines) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  EngineInfo draining;
  draining.engine = EngineId{10};
  draining.state = EngineState::kDraining;
  handle(state, at(50), EngineListUpdate{true, {draining}});  // a complete list: 20 is removed
  EXPECT_FALSE(may_attempt(state, command, state.engines[0], at(50)));
  EXPECT_FALSE(may_attempt(state, command, state.engines[1], at(50)));
}

TEST(EngineList, InsertingAnEngineKeepsEngineIndicesValid) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 1, at(0));
  EngineInfo added;
  added.engine = EngineId{5};
  handle(state, at(50), EngineListUpdate{false, {added}});
  EXPECT_EQ(state.engines[*command.attempt.engine_index].id, EngineId{20});
}

}  // namespace
}  // namespace firvalve
