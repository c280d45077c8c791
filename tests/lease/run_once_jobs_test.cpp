// Tests of RunOnceJobs: a job starts at most once, and every caller gets an answer.
#include "lease/run_once_jobs.h"

#include <gtest/gtest.h>

#include "lease/lease_fixture.h"

namespace firvalve::lease {
namespace {

class RunOnceJobsTest : public LeaseFixture {
 protected:
  using ActionKind = RunOnceJobs::Action::Kind;
  void submit(FakeGateway& gateway, RunOnceJobs::CallId call, BootTime now, uint64_t statement_hash = 7) {
    gateway.jobs.submit(now, "night", call, statement_hash, now + 10s);
  }
  // Gateway a_ runs the job for its call 1, with these rows as its result.
  void complete_at_a(const std::string& rows) {
    submit(a_, 1, at(100));
    run(registers_, {&a_}, at(100), at(1000));
    ASSERT_EQ(a_.count(ActionKind::kStart), 1);
    a_.jobs.on_run_finished(at(1000), "night", RunOnceJobs::RunOutcome::kCompleted, rows);
    run(registers_, {&a_}, at(1000), at(2000));
  }
  // Callers after the run learn at both gateways that the job has completed, and do not run it again.
  void expect_result_is_not_stored() {
    for (FakeGateway* gateway : {&a_, &b_}) {
      submit(*gateway, 2, at(5000));
      run(registers_, {gateway}, at(5000), at(6000));
      EXPECT_EQ(gateway->actions.back().kind, ActionKind::kFail);
      EXPECT_EQ(gateway->actions.back().error, "it has completed; its result is not stored");
    }
    EXPECT_EQ(a_.count(ActionKind::kStart) + b_.count(ActionKind::kStart), 1);
  }
};

TEST_F(RunOnceJobsTest, TwoGatewaysStartAJobOnceAndBothAnswerWithItsRows) {
  submit(a_, 1, at(100));
  submit(b_, 2, at(100));
  run(registers_, {&a_, &b_}, at(100), at(1000));
  EXPECT_EQ(a_.count(ActionKind::kStart) + b_.count(ActionKind::kStart), 1);
  FakeGateway& runner = a_.count(ActionKind::kStart) ? a_ : b_;
  runner.jobs.on_run_finished(at(1000), "night", RunOnceJobs::RunOutcome::kCompleted, "12 rows\n");
  run(registers_, {&a_, &b_}, at(1000), at(1500));
  for (FakeGateway* gateway : {&a_, &b_}) {
    EXPECT_EQ(gateway->count(ActionKind::kComplete), 1);
    EXPECT_EQ(gateway->actions.back().rows, "12 rows\n");
    EXPECT_TRUE(gateway->jobs.is_idle());
  }
  submit(a_, 3, at(5000));
  run(registers_, {&a_}, at(5000), at(5500));
  EXPECT_EQ(a_.count(ActionKind::kStart) + b_.count(ActionKind::kStart), 1);
  EXPECT_EQ(a_.actions.back().kind, ActionKind::kComplete);
}

// Guards against a result that is served as empty because it was too long for the record.
TEST_F(RunOnceJobsTest, LongestResultIsServedWholeToCallersAfterTheRun) {
  const std::string rows(kMaxStoredRowsBytes, 'r');
  complete_at_a(rows);
  for (FakeGateway* gateway : {&a_, &b_}) {
    submit(*gateway, 2, at(5000));
    run(registers_, {gateway}, at(5000), at(6000));
    EXPECT_EQ(gateway->actions.back().kind, ActionKind::kComplete);
    EXPECT_EQ(gateway->actions.back().rows, rows);
  }
}

// Guards against a result that is served as empty because it is not stored.
TEST_F(RunOnceJobsTest, ResultTooLongToStoreIsNotServedAsEmpty) {
  complete_at_a(std::string(kMaxStoredRowsBytes + 1, 'r'));
  EXPECT_EQ(a_.actions.back().rows.size(), kMaxStoredRowsBytes + 1);  // its caller waited for the run
  expect_result_is_not_stored();
}

// Guards against an outcome that is never recorded because its result does not fit into the replicas.
TEST_F(RunOnceJobsTest, OutcomeIsRecordedWithoutItsResultWhereTheReplicasHaveNoSpace) {
  registers_.max_value_bytes = 1000;
  complete_at_a(std::string(2000, 'r'));
  EXPECT_EQ(a_.count(ActionKind::kComplete), 1);
  EXPECT_TRUE(a_.jobs.is_idle());
  expect_result_is_not_stored();
}

TEST_F(RunOnceJobsTest, ResultWithoutRowsIsServedAsEmpty) {
  complete_at_a("");
  submit(b_, 2, at(5000));
  run(registers_, {&b_}, at(5000), at(6000));
  EXPECT_EQ(b_.actions.back().kind, ActionKind::kComplete);
  EXPECT_EQ(b_.actions.back().rows, "");
}

TEST_F(RunOnceJobsTest, StartedJobOfAFailedHolderIsAnsweredAsMayHaveRun) {
  submit(a_, 1, at(100));
  run(registers_, {&a_}, at(100), at(1000));
  ASSERT_EQ(a_.count(ActionKind::kStart), 1);
  submit(b_, 2, at(1000));
  run(registers_, {&b_}, at(1000), at(4000));
  EXPECT_EQ(b_.count(ActionKind::kStart), 0);
  EXPECT_EQ(b_.count(ActionKind::kFail), 1);
  FakeGateway c("c", 4004);
  submit(c, 3, at(5000));
  run(registers_, {&c}, at(5000), at(8000));
  EXPECT_EQ(c.count(ActionKind::kStart), 0);
  EXPECT_EQ(c.count(ActionKind::kFail), 1);
}

TEST_F(RunOnceJobsTest, JobOfAHolderThatFailedBeforeItsRecordIsStartedByTheNext) {
  submit(a_, 1, at(100));
  BootTime now = at(100);
  // Gateway a acquires the lease and fails before the start of the job is committed.
  while (a_.count(Event::Kind::kAcquired) == 0) {
    a_.leases.on_tick(now += 10ms);
    for (const consensus::Proposal& proposal : a_.leases.take_proposals())
      a_.leases.on_result(now, registers_.change(now, proposal));
    for (Event& e : a_.leases.take_events()) a_.events.push_back(e);
  }
  submit(b_, 2, now);
  run(registers_, {&b_}, now, now + 3000ms);
  EXPECT_EQ(b_.count(ActionKind::kStart), 1);
}

TEST_F(RunOnceJobsTest, JobThatNeverRanMayStartAgain) {
  submit(a_, 1, at(100));
  submit(b_, 2, at(100));
  run(registers_, {&a_, &b_}, at(100), at(1000));
  FakeGateway& first = a_.count(ActionKind::kStart) ? a_ : b_;
  FakeGateway& second = a_.count(ActionKind::kStart) ? b_ : a_;
  first.jobs.on_run_finished(at(1000), "night", RunOnceJobs::RunOutcome::kNeverRan, {}, 200ms);
  run(registers_, {&a_, &b_}, at(1000), at(2000));
  EXPECT_EQ(first.count(ActionKind::kShed), 1);
  EXPECT_EQ(second.count(ActionKind::kStart), 1);
}

TEST_F(RunOnceJobsTest, DifferentStatementUnderTheSameKeyIsRejected) {
  submit(a_, 1, at(100), 7);
  run(registers_, {&a_}, at(100), at(1000));
  a_.jobs.on_run_finished(at(1000), "night", RunOnceJobs::RunOutcome::kCompleted, "");
  submit(b_, 2, at(1000), 8);
  run(registers_, {&a_, &b_}, at(1000), at(2000));
  EXPECT_EQ(b_.count(ActionKind::kReject), 1);
}

TEST_F(RunOnceJobsTest, CallIsAnsweredAtItsDeadlineAndTheRunContinues) {
  submit(a_, 1, at(100));
  run(registers_, {&a_}, at(100), at(11000));
  EXPECT_EQ(a_.count(ActionKind::kFail), 1);
  EXPECT_FALSE(a_.jobs.is_idle());
  a_.jobs.on_run_finished(at(11000), "night", RunOnceJobs::RunOutcome::kCompleted, "late\n");
  run(registers_, {&a_}, at(11000), at(12000));
  EXPECT_TRUE(a_.jobs.is_idle());
  submit(b_, 2, at(12000));
  run(registers_, {&b_}, at(12000), at(13000));
  EXPECT_EQ(b_.count(ActionKind::kComplete), 1);
}

TEST_F(RunOnceJobsTest, ShutdownAnswersWaitingCallsAndAStartedRunContinues) {
  submit(a_, 1, at(100));
  run(registers_, {&a_}, at(100), at(500));
  ASSERT_EQ(a_.count(ActionKind::kStart), 1);
  a_.jobs.submit(at(500), "another", 2, 7, at(10000));
  a_.jobs.stop_accepting();
  a_.tick(registers_, at(500));
  EXPECT_EQ(a_.count(ActionKind::kFail), 1);
  submit(a_, 3, at(510));
  a_.tick(registers_, at(510));
  EXPECT_EQ(a_.count(ActionKind::kFail), 2);
  EXPECT_TRUE(a_.jobs.is_running());
  a_.jobs.on_run_finished(at(600), "night", RunOnceJobs::RunOutcome::kCompleted, "done\n");
  run(registers_, {&a_}, at(600), at(700));
  EXPECT_EQ(a_.count(ActionKind::kComplete), 1);
  EXPECT_TRUE(a_.jobs.is_idle());
}

TEST_F(RunOnceJobsTest, GatewayThatLostTheLeaseAnswersItsCallsButDoesNotChangeTheRecord) {
  submit(a_, 1, at(100));
  run(registers_, {&a_}, at(100), at(500));
  submit(b_, 2, at(500));
  run(registers_, {&b_}, at(500), at(3000));  // a is paused until after its lease has expired
  EXPECT_EQ(b_.count(ActionKind::kFail), 1);
  a_.jobs.on_run_finished(at(3000), "night", RunOnceJobs::RunOutcome::kCompleted, "done\n");
  run(registers_, {&a_}, at(3000), at(5000));
  EXPECT_EQ(a_.count(ActionKind::kComplete), 1);
  EXPECT_TRUE(a_.jobs.is_idle());
  EXPECT_EQ(decode_run_once_job(decode_lease_record(registers_.stored["merge:night"].value)->state).stage,
            RunOnceJob::Stage::kUnknown);
}

}  // namespace
}  // namespace firvalve::lease
