// Checks which engine is chosen, with regard to placement, pool, load, congestion and reservations.
#include "policy/engine_selection.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(EngineSelection, ChoosesOnlyListedEnginesOfAllowedMachineTypes) {
  Profile profile = make_profile(Effect::kReplayable);
  profile.machine_types = {"big"};
  State state = state_with(2, {profile});
  Command& command = add_command(state);
  state.engines[0].machine_type = "small";
  state.engines[1].machine_type = "big";
  EXPECT_EQ(choose_engine(state, command, at(10)), 1u);
  state.engines[1].state = EngineState::kRemoved;
  EXPECT_EQ(choose_engine(state, command, at(10)), std::nullopt);
}

TEST(EngineSelection, HeavyCommandsPreferThePoolAndOverflow) {
  State state = state_with(3, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  command.is_heavy = true;
  state.engines[2].is_in_pool = true;
  EXPECT_EQ(choose_engine(state, command, at(10)), 2u);
  state.engines[2].in_flight.threads = 16;
  EXPECT_NE(choose_engine(state, command, at(10)), 2u);
}

TEST(EngineSelection, ReadersAvoidThePoolWhileALightEngineWorks) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  state.profiles[0].waits_for_loads = true;
  Command& command = add_command(state);
  state.engines[1].is_in_pool = true;
  state.engines[0].in_flight.threads = 30;
  EXPECT_EQ(choose_engine(state, command, at(10)), std::nullopt);
  state.engines[0].outlier.is_ejected = true;
  state.engines[0].outlier.next_probe_at = at(20);
  EXPECT_EQ(choose_engine(state, command, at(10)), 1u);
}

TEST(EngineSelection, LoadsThatBlockReadersOverflowOnlyAfterALongWait) {
  State state = state_with(2, {make_profile(Effect::kReplayable), make_profile(Effect::kNonReplayable)});
  state.profiles[0].waits_for_loads = state.profiles[1].is_load = true;
  Command& load = add_command(state, 1);
  load.is_heavy = state.engines[1].is_in_pool = true;
  state.engines[1].in_flight.threads = 8;
  state.engines[1].concurrency.limit = 4;
  EXPECT_EQ(choose_engine(state, load, at(500)), std::nullopt);
  EXPECT_EQ(choose_engine(state, load, at(1500)), 0u);
}

TEST(EngineSelection, ChoosesTheEngineWithLessPredictedWork) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  state.engines[0].in_flight.work = span(500);
  EXPECT_EQ(choose_engine(state, command, at(10)), 1u);
}

TEST(EngineSelection, AvoidsCongestedEnginesWhileAnotherHasCapacity) {
  State state = state_with(4, {make_profile(Effect::kReplayable)});
  for (int i : {0, 1, 2}) state.engines[static_cast<size_t>(i)].concurrency.congestion = 3;
  for (int i = 0; i < 8; ++i) EXPECT_EQ(choose_engine(state, add_command(state), at(10)), 3u);
  state.engines[3].backoff.until = at(100);
  EXPECT_TRUE(choose_engine(state, add_command(state), at(10)).has_value());
}

// Where a gateway's share is less than one command, some engine is always reserved. If short commands avoided
// it, those of all gateways would congest the few machines that no command is restricted to.
TEST(EngineSelection, ShortCommandsAvoidReservedEnginesOnlyIfTheLimitHoldsOne) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  state.engines[0].is_reserved = true;
  state.engines[1].in_flight.work = span(1e6);
  Command& command = add_command(state);
  EXPECT_EQ(choose_engine(state, command, at(0)), 1u);
  for (Engine& engine : state.engines) engine.concurrency.limit = 0.5;
  EXPECT_EQ(choose_engine(state, command, at(0)), 0u);
}

}  // namespace
}  // namespace firvalve
