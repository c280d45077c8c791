// Checks how the memory grant is learned.
#include "policy/scheduling_hints.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(SchedulingHints, MemoryGrantCoversMostCommands) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  state.profiles[0].memory_factor = 1;
  for (int i = 0; i < 400; ++i) {
    Command& command = add_command(state);
    command.request.estimated_memory_mb = 100;
    start_attempt(state, command, 0, at(0));
    AttemptFinished finished = attempt_finished(command, Outcome::kOk);
    finished.memory_mb = i % 10 == 0 ? 190 : 110;  // one in ten needs far more
    handle(state, at(100), finished);
    state.active_slots.clear();
    state.slots.clear();
  }
  EXPECT_GT(state.profiles[0].memory_factor, 1.6);
}

}  // namespace
}  // namespace firvalve
