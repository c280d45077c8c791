// The path of a command through the core: attempts, answers, deadlines, disconnects and half-closed clients.
#include "core/core_fixture.h"

namespace firvalve {
namespace {

TEST_F(CoreTest, CommandIsSentToAnEngineAndAnsweredOnce) {
  list_engine("s-00c41f7a");
  EXPECT_EQ(admit(1), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1000));
  ASSERT_EQ(recorder.started.size(), 1u);
  EXPECT_EQ(recorder.started[0].engine, 0x00c41f7au);
  EXPECT_EQ(recorder.started[0].statement, "select 1");
  EXPECT_EQ(recorder.started[0].deadline, time_point_of(5000));
  EXPECT_TRUE(recorder.started[0].may_cancel);
  core.attempt_finished(time_point_of(1010), AttemptId{1}, Outcome::kOk, "a\n");
  core.attempt_finished(time_point_of(1011), AttemptId{1}, Outcome::kOk, "late\n");
  core.decide(time_point_of(1020));
  EXPECT_EQ(recorder.responses, std::vector<std::string>{"answer 1 a\n"});
  EXPECT_EQ(core.active_command_count(), 0u);
}

TEST_F(CoreTest, DecisionsAreMadeOncePerTick) {
  list_engine("s-1");
  core.decide(time_point_of(1000));
  admit(1);
  core.decide(time_point_of(1002));
  EXPECT_TRUE(recorder.started.empty());
  EXPECT_EQ(core.next_due(), time_point_of(1005));
  core.decide(time_point_of(1005));
  EXPECT_EQ(recorder.started.size(), 1u);
}

TEST_F(CoreTest, AttemptIsCancelledAtTheClientsDeadline) {
  list_engine("s-1");
  admit(1);
  core.decide(time_point_of(1000));
  core.decide(time_point_of(5000));
  ASSERT_EQ(recorder.cancelled.size(), 1u);
  EXPECT_EQ(recorder.cancelled[0].second, Outcome::kTimedOut);
  core.attempt_finished(time_point_of(5000), AttemptId{1}, Outcome::kTimedOut);
  core.decide(time_point_of(5005));
  EXPECT_EQ(recorder.responses, std::vector<std::string>{"fail 1"});
}

TEST_F(CoreTest, DisconnectedClientGetsNoResponseAndItsAttemptIsCancelled) {
  list_engine("s-1");
  admit(1);
  core.decide(time_point_of(1000));
  core.client_gone(time_point_of(1010), CallId{1});
  core.decide(time_point_of(1010));
  ASSERT_EQ(recorder.cancelled.size(), 1u);
  EXPECT_EQ(recorder.cancelled[0].second, Outcome::kCancelled);
  core.attempt_finished(time_point_of(1020), AttemptId{1}, Outcome::kOk, "a\n");
  core.decide(time_point_of(1020));
  EXPECT_TRUE(recorder.responses.empty());
  EXPECT_EQ(core.active_command_count(), 0u);
}

// An event carries a reason if the policy or the core decided it.
TEST_F(CoreTest, ObserverReceivesEachEventOfACommandWithItsReason) {
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

// Guards against requests of a client that has left: they were started when they were read long after its
// end.
TEST_F(CoreTest, CommandReadLongAfterItsClientsEndIsShed) {
  list_engine("s-1");
  admit(1);
  core.client_half_closed(time_point_of(1000), CallId{1}, time_point_of(900));
  core.decide(time_point_of(1005));
  EXPECT_TRUE(recorder.started.empty());
  EXPECT_EQ(recorder.responses, std::vector<std::string>{"shed 1"});
}

// For a short time a half-closed client's command is treated like any other. After that no attempt starts any
// more, and the client gets a response that says so.
TEST_F(CoreTest, HalfClosedClientsCommandStartsSoonOrIsShed) {
  admit(1);
  core.client_half_closed(time_point_of(1000), CallId{1}, time_point_of(1000));
  core.decide(time_point_of(1005));
  EXPECT_TRUE(recorder.responses.empty());  // no engine yet, and the client may still be connected
  core.decide(time_point_of(1060));
  EXPECT_EQ(recorder.responses, std::vector<std::string>{"shed 1"});
  list_engine("s-1");
  core.decide(time_point_of(1100));
  EXPECT_TRUE(recorder.started.empty());
  admit(2, "000000000000000b");
  core.client_half_closed(time_point_of(1110), CallId{2}, time_point_of(1110));
  core.decide(time_point_of(1110));
  ASSERT_EQ(recorder.started.size(), 1u);
  EXPECT_TRUE(core.may_start_attempt(time_point_of(1120), AttemptId{1}));
  // The engine connection was established too late.
  EXPECT_FALSE(core.may_start_attempt(time_point_of(1170), AttemptId{1}));
  core.attempt_finished(time_point_of(1200), AttemptId{1}, Outcome::kFailed);
  core.decide(time_point_of(1200));
  EXPECT_EQ(recorder.started.size(), 1u);
  EXPECT_EQ(recorder.responses.back(), "shed 2");  // the command is replayable: the client can retry safely
}

TEST_F(CoreTest, AttemptStartIsCheckedAgainBeforeItIsWritten) {
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

TEST_F(CoreTest, CompleteListRemovesEnginesThatItDoesNotContain) {
  list_engine("s-00000001");
  core.update_engine_list(time_point_of(1000), true, {{"s-00000002", "127.0.0.1:2", {}}});
  EXPECT_EQ(recorder.addresses[1], "");
  EXPECT_EQ(recorder.addresses[2], "127.0.0.1:2");
}

}  // namespace
}  // namespace firvalve
