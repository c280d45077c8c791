// Checks that each command gets one final answer, and each attempt at most one cancellation.
#include "policy/reconciliation.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(Reconciliation, TimeoutAtTheDeadlineFailsTheCommandImmediately) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  handle(state, at(10000), attempt_finished(command, Outcome::kTimedOut));
  Actions actions;
  append_actions(state, at(10000), actions);
  EXPECT_EQ(count_of(actions, Action::Kind::kFailCommand), 1);
  EXPECT_TRUE(state.active_slots.empty());
}

TEST(Reconciliation, NoActionAfterTheClientLeft) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  add_command(state).is_ended = true;
  Actions actions;
  append_actions(state, at(10), actions);
  EXPECT_TRUE(actions.empty());
  EXPECT_TRUE(state.active_slots.empty());
}

TEST(Reconciliation, CancelsAttemptOnceAfterTheClientLeft) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  command.is_ended = true;
  Actions actions;
  append_actions(state, at(10), actions);
  append_actions(state, at(11), actions);
  EXPECT_EQ(count_of(actions, Action::Kind::kCancelAttempt), 1);
  EXPECT_EQ(state.active_slots.size(), 1u);  // holds its ordering key and slot until the attempt has finished
}

}  // namespace
}  // namespace firvalve
