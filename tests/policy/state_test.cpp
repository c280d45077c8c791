// Checks the reuse of command slots and the removal of engines.
#include "policy/state.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(PolicyState, SlotsAreReused) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Admitted admitted;
  admitted.profile = 0;
  admitted.deadline = at(10000);
  for (int i = 0; i < 5; ++i) {
    admitted.id = id_of(i);
    handle(state, at(i), admitted);
    Actions actions;
    decide(state, at(i), actions);
    handle(state, at(i), attempt_finished(state.slots[0], Outcome::kOk));
    decide(state, at(i), actions);
  }
  EXPECT_EQ(state.slots.size(), 1u);
}

TEST(PolicyState, RemovedEnginesAreErasedOnceNoCommandRefersToThem) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  for (uint32_t id = 1; id <= 6; ++id) find_or_add_engine(state, EngineId{id}).state = EngineState::kRemoved;
  start_attempt(state, command, 6, at(0));  // on the ready engine, which follows the removed ones
  command.possible_run = PossibleRun{2, {}};
  erase_removed_engines(state);
  ASSERT_EQ(state.engines.size(), 2u);
  EXPECT_EQ(state.engines[*command.attempt.engine_index].id, EngineId{10});
  EXPECT_EQ(state.engines[command.possible_run->engine_index].id, EngineId{3});
}

}  // namespace
}  // namespace firvalve
