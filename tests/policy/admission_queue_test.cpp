// Checks the order of the admission queue and which commands it sheds, holds back or starts.
#include "policy/admission_queue.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(AdmissionQueue, ShedsQueuedCommandBeforeItsDeadline) {
  State state = state_with(0, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  review_queue(state, at(9900));
  EXPECT_EQ(command.desired, DesiredState::kShed);
}

TEST(AdmissionQueue, ShedsCommandThatWouldMissItsDeadlineAtTheUsualSlowdown) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  state.concurrency.usual_slowdown = 3;
  Command& command = add_command(state);
  command.predicted_runtime = span(200);
  command.request.deadline = at(1000);
  review_queue(state, at(500));
  EXPECT_EQ(command.desired, DesiredState::kShed);
}

TEST(AdmissionQueue, RunsCommandsOfAnOrderingKeyOneAtATimeInAdmissionOrder) {
  Profile profile = make_profile(Effect::kDeduplicated);
  profile.is_ordered = true;
  State state = state_with(1, {profile});
  Command& first = add_command(state);
  Command& second = add_command(state);
  Command& other = add_command(state);
  first.request.ordering_key = second.request.ordering_key = 0;
  other.request.ordering_key = 7;
  first.is_ended = true;
  first.attempt.state = AttemptState::kInFlight;  // answered, but its attempt has not finished
  EXPECT_FALSE(is_next_for_ordering_key(state, second, at(10)));
  EXPECT_TRUE(is_next_for_ordering_key(state, other, at(10)));
  state.active_slots.erase(state.active_slots.begin());
  EXPECT_TRUE(is_next_for_ordering_key(state, second, at(10)));
}

TEST(AdmissionQueue, BlocksOrderingKeyAfterAnAttemptThatMayStillRun) {
  Profile profile = make_profile(Effect::kDeduplicated);
  profile.is_ordered = true;
  State state = state_with(1, {profile});
  state.options.key_cooldown = span(300);
  Command& first = add_command(state);
  first.request.ordering_key = 0;
  start_attempt(state, first, 0, at(0));
  handle(state, at(100), attempt_finished(first, Outcome::kReset));
  Command next = first;
  next.attempts = 0;
  state.active_slots.clear();
  EXPECT_FALSE(is_next_for_ordering_key(state, next, at(399)));
  EXPECT_TRUE(is_next_for_ordering_key(state, next, at(400)));
}

TEST(AdmissionQueue, OverloadedPoolQueuesThenShedsHeavyCommands) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  state.pool.heavy_attempts = 20;
  state.pool.heavy_rejections = 5;
  Command& heavy = add_command(state);
  Command& light = add_command(state);
  heavy.is_heavy = true;
  review_queue(state, at(500));
  EXPECT_EQ(heavy.desired, DesiredState::kQueued);
  EXPECT_EQ(light.desired, DesiredState::kInFlight);
  review_queue(state, at(1000));
  EXPECT_EQ(heavy.desired, DesiredState::kShed);
}

TEST(AdmissionQueue, UnrestrictedCommandLeavesReservedEngineToRestrictedCommand) {
  State state = state_with(2, {make_profile(Effect::kReplayable, 4), make_profile(Effect::kReplayable, 2)});
  state.profiles[0].machine_types = {"big"};
  state.machine_types = {"", "big"};
  state.concurrency.groups.resize(4);
  state.engines[1].machine_type = "big";
  state.engines[1].machine_type_index = 1;
  for (Engine& engine : state.engines) {
    engine.concurrency.limit = 4;
    engine.in_flight.threads = engine.in_flight.attempts = 2;
  }
  state.engines[0].in_flight.threads = 4;  // full
  Command& restricted = add_command(state);
  add_command(state, 1).predicted_work = span(1000);  // less benefit per work, so reviewed later
  review_queue(state, at(0));
  EXPECT_EQ(state.slots[1].desired, DesiredState::kQueued);
  state.engines[1].in_flight.threads = 0;
  review_queue(state, at(0));
  EXPECT_EQ(restricted.desired_engine_index, 1u);
}

}  // namespace
}  // namespace firvalve
