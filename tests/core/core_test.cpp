#include "core/core_fixture.h"

namespace firvalve {
namespace {

TEST_F(CoreTest, ACommandGoesOutAndIsAnsweredOnce) {
  list_engine("s-00c41f7a");
  EXPECT_EQ(admit(1), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1000));
  ASSERT_EQ(ends.started.size(), 1u);
  EXPECT_EQ(ends.started[0].engine, 0x00c41f7au);
  EXPECT_EQ(ends.started[0].statement, "select 1");
  EXPECT_EQ(ends.started[0].deadline, time_point_of(5000));
  EXPECT_TRUE(ends.started[0].may_cancel);
  core.attempt_finished(time_point_of(1010), AttemptId{1}, Outcome::kOk, "a\n");
  core.attempt_finished(time_point_of(1011), AttemptId{1}, Outcome::kOk, "late\n");
  core.decide(time_point_of(1020));
  EXPECT_EQ(ends.finals, std::vector<std::string>{"answer 1 a\n"});
  EXPECT_EQ(core.active_command_count(), 0u);
}

TEST_F(CoreTest, DecisionsComeOnceATick) {
  list_engine("s-1");
  core.decide(time_point_of(1000));
  admit(1);
  core.decide(time_point_of(1002));
  EXPECT_TRUE(ends.started.empty());
  EXPECT_EQ(core.next_due(), time_point_of(1005));
  core.decide(time_point_of(1005));
  EXPECT_EQ(ends.started.size(), 1u);
}

TEST_F(CoreTest, AnAttemptEndsAtItsClientsDeadline) {
  list_engine("s-1");
  admit(1);
  core.decide(time_point_of(1000));
  core.decide(time_point_of(5000));
  ASSERT_EQ(ends.cancelled.size(), 1u);
  EXPECT_EQ(ends.cancelled[0].second, Outcome::kTimedOut);
  core.attempt_finished(time_point_of(5000), AttemptId{1}, Outcome::kTimedOut);
  core.decide(time_point_of(5005));
  EXPECT_EQ(ends.finals, std::vector<std::string>{"fail 1"});
}

TEST_F(CoreTest, AClientThatHasGoneGetsNothingAndItsAttemptIsCancelled) {
  list_engine("s-1");
  admit(1);
  core.decide(time_point_of(1000));
  core.client_gone(time_point_of(1010), CallId{1});
  core.decide(time_point_of(1010));
  ASSERT_EQ(ends.cancelled.size(), 1u);
  EXPECT_EQ(ends.cancelled[0].second, Outcome::kCancelled);
  core.attempt_finished(time_point_of(1020), AttemptId{1}, Outcome::kOk, "a\n");
  core.decide(time_point_of(1020));
  EXPECT_TRUE(ends.finals.empty());
  EXPECT_EQ(core.active_command_count(), 0u);
}

// Events carry the reason where it is the policy's or the core's own.
TEST_F(CoreTest, TheObserverLearnsOfEachEventOfACommandWithItsReason) {
  std::vector<std::string> events;
  core.set_observer([&](TimePoint, const CommandEvent& event) {
    events.push_back(std::string(name_of(event.kind)) + "/" + std::string(event.engine) + "/" +
                     std::string(name_of(event.reason)));
  });
  list_engine("s-1");
  admit(1);
  core.decide(time_point_of(1000));
  core.decide(time_point_of(5000));
  core.attempt_finished(time_point_of(5000), AttemptId{1}, Outcome::kTimedOut);
  core.decide(time_point_of(5005));
  EXPECT_EQ(events,
            (std::vector<std::string>{"command.admitted//none", "attempt.started/s-1/none",
                                      "attempt.cancelled/s-1/deadline exceeded", "attempt.finished/s-1/none",
                                      "command.failed/s-1/deadline exceeded"}));
  EXPECT_EQ(metrics.counts["commands ended unserved: deadline exceeded"], 1u);
}

// A half-closed client is served as any other for a moment; then nothing starts, and it learns that.
TEST_F(CoreTest, AHalfClosedClientsCommandStartsAtOnceOrNeverAndIsAnswered) {
  admit(1);
  core.client_half_closed(time_point_of(1000), CallId{1});
  core.decide(time_point_of(1005));
  EXPECT_TRUE(ends.finals.empty());  // no engine yet; its client is not known to have gone
  core.decide(time_point_of(1060));
  EXPECT_EQ(ends.finals, std::vector<std::string>{"shed 1"});
  list_engine("s-1");
  core.decide(time_point_of(1100));
  EXPECT_TRUE(ends.started.empty());
  admit(2, "000000000000000b");
  core.client_half_closed(time_point_of(1110), CallId{2});
  core.decide(time_point_of(1110));
  ASSERT_EQ(ends.started.size(), 1u);
  EXPECT_TRUE(core.may_start_attempt(time_point_of(1120), AttemptId{1}));
  EXPECT_FALSE(core.may_start_attempt(time_point_of(1170), AttemptId{1}));  // its connection came up too late
  core.attempt_finished(time_point_of(1200), AttemptId{1}, Outcome::kFailed);
  core.decide(time_point_of(1200));
  EXPECT_EQ(ends.started.size(), 1u);
  EXPECT_EQ(ends.finals.back(), "shed 2");  // replayable: trying again is harmless
}

TEST_F(CoreTest, AStartNotYetWrittenIsCheckedAgain) {
  list_engine("s-1");
  admit(1);
  core.decide(time_point_of(1000));
  EXPECT_TRUE(core.may_start_attempt(time_point_of(1010), AttemptId{1}));
  EXPECT_FALSE(core.may_start_attempt(time_point_of(5000), AttemptId{1}));  // past its client's deadline
  list_engine("s-1", EngineState::kDraining);
  EXPECT_FALSE(core.may_start_attempt(time_point_of(1020), AttemptId{1}));
  list_engine("s-1");
  EXPECT_TRUE(core.may_start_attempt(time_point_of(1030), AttemptId{1}));
  core.client_gone(time_point_of(1040), CallId{1});
  EXPECT_FALSE(core.may_start_attempt(time_point_of(1040), AttemptId{1}));
  EXPECT_FALSE(core.may_start_attempt(time_point_of(1040), AttemptId{7}));  // no such attempt
}

TEST_F(CoreTest, ACompleteListRemovesWhatItOmits) {
  list_engine("s-00000001");
  core.update_engine_list(time_point_of(1000), true, {{"s-00000002", "127.0.0.1:2", {}}});
  EXPECT_EQ(ends.addresses[1], "");
  EXPECT_EQ(ends.addresses[2], "127.0.0.1:2");
}

}  // namespace
}  // namespace firvalve
