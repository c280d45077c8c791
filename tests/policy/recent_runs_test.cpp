// Which commands are remembered as run, and for how many others.
#include "policy/recent_runs.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

bool is_remembered(Effect effect, Outcome outcome) {
  State state = state_with(1, {make_profile(effect)});
  Command& command = add_command(state);
  const CommandId id = command.request.id;
  start_attempt(state, command, 0, at(0));
  handle(state, at(100), attempt_finished(command, outcome));
  return must_not_run_again(state, id);
}

TEST(RecentRuns, OnlyWhatMayHaveRunAndMustNotRunTwiceIsRemembered) {
  for (const Outcome outcome : {Outcome::kOk, Outcome::kFailed, Outcome::kReset, Outcome::kCancelled,
                                Outcome::kTimedOut, Outcome::kIndeterminate}) {
    EXPECT_TRUE(is_remembered(Effect::kNonReplayable, outcome));
    EXPECT_TRUE(is_remembered(Effect::kDeduplicated, outcome));
    EXPECT_FALSE(is_remembered(Effect::kReplayable, outcome));
  }
  for (const Outcome outcome : {Outcome::kQueueFull, Outcome::kConnectFailed, Outcome::kCancelledBeforeStart})
    EXPECT_FALSE(is_remembered(Effect::kNonReplayable, outcome));
}

TEST(RecentRuns, LatestIdsAreKeptAndTheOldestForgotten) {
  RecentRuns runs;
  const int count = static_cast<int>(RecentRuns::kMaxIds);
  for (int i = 0; i <= count; ++i) runs.add(id_of(i)), runs.add(id_of(i));
  EXPECT_FALSE(runs.contains(id_of(0)));
  for (int i = 1; i <= count; ++i) ASSERT_TRUE(runs.contains(id_of(i))) << i;
}

}  // namespace
}  // namespace firvalve
