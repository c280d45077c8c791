// Retries that join a pending command of their retry chain.
#include "core/core_fixture.h"

namespace firvalve {
namespace {

struct CoreRetries : CoreTest {
  AdmissionResult retry(uint64_t call, const char* id, const char* retry_of,
                        const char* statement = "select 1") {
    CommandRequest request;
    request.command = id;
    request.profile = "quick";
    request.retry_of = retry_of;
    request.statement = statement;
    request.timeout = duration_of(4000);
    request.estimated_work = duration_of(100);
    return core.admit(time_point_of(1000), CallId{call}, std::move(request));
  }
  static constexpr const char* kFirst = "00000000000000a1";
  static constexpr const char* kSecond = "00000000000000a2";
  static constexpr const char* kThird = "00000000000000a3";
};

TEST_F(CoreRetries, RetryJoinsThePendingCommandAndEachCallIsAnswered) {
  list_engine("s-1");
  admit(1, kFirst);
  core.decide(time_point_of(1000));
  EXPECT_EQ(retry(2, kSecond, kFirst), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1010));
  ASSERT_EQ(recorder.started.size(), 1u);
  EXPECT_EQ(core.unanswered_call_count(), 2u);
  core.attempt_finished(time_point_of(1020), recorder.started[0].attempt, Outcome::kOk, "a\n");
  EXPECT_EQ(recorder.responses, (std::vector<std::string>{"answer 1 a\n", "answer 2 a\n"}));
  EXPECT_EQ(core.unanswered_call_count(), 0u);
}

TEST_F(CoreRetries, RetryJoinsAnEarlierRetryWhoseFirstCommandIsUnknown) {
  list_engine("s-1");
  EXPECT_EQ(retry(1, kSecond, kFirst),
            AdmissionResult::kAdmitted);  // this gateway does not know the first command
  core.decide(time_point_of(1000));
  EXPECT_EQ(retry(2, kThird, kFirst), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1010));
  EXPECT_EQ(recorder.started.size(), 1u);
}

TEST_F(CoreRetries, RetryWithAnotherStatementRunsSeparately) {
  list_engine("s-1");
  admit(1, kFirst);
  core.decide(time_point_of(1000));
  EXPECT_EQ(retry(2, kSecond, kFirst, "select 2"), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1010));
  EXPECT_EQ(recorder.started.size(), 2u);
}

TEST_F(CoreRetries, JoiningRetryKeepsAHalfClosedClientsCommandWaiting) {
  list_engine("s-1", EngineState::kDraining);
  EXPECT_EQ(admit(1, kFirst), AdmissionResult::kAdmitted);
  core.client_half_closed(time_point_of(1000), CallId{1}, time_point_of(1000));
  EXPECT_EQ(retry(2, kSecond, kFirst), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1100));
  EXPECT_TRUE(recorder.responses.empty());
  core.client_gone(time_point_of(1110), CallId{2});  // the only client that is not half-closed
  core.decide(time_point_of(1200));
  EXPECT_EQ(recorder.responses, std::vector<std::string>{"shed 1"});
}

TEST_F(CoreRetries, AttemptIsCancelledWhenTheLastWaitingClientDisconnects) {
  list_engine("s-1");
  admit(1, kFirst);
  core.decide(time_point_of(1000));
  retry(2, kSecond, kFirst);
  core.client_gone(time_point_of(1010), CallId{1});
  core.decide(time_point_of(1010));
  EXPECT_TRUE(recorder.cancelled.empty());
  core.client_gone(time_point_of(1020), CallId{2});
  core.decide(time_point_of(1030));
  ASSERT_EQ(recorder.cancelled.size(), 1u);
  core.attempt_finished(time_point_of(1040), recorder.started[0].attempt, Outcome::kCancelled);
  core.decide(time_point_of(1050));
  EXPECT_TRUE(recorder.responses.empty());
  EXPECT_EQ(core.active_command_count(), 0u);
}

TEST_F(CoreRetries, RetryAfterTheFirstCommandWasAbandonedStartsANewAttempt) {
  list_engine("s-1");
  admit(1, kFirst);
  core.decide(time_point_of(1000));
  core.client_gone(time_point_of(1010), CallId{1});
  EXPECT_EQ(retry(2, kSecond, kFirst), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1020));
  EXPECT_EQ(recorder.started.size(), 2u);
}

}  // namespace
}  // namespace firvalve
