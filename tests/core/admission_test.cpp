// Admission of commands: rejections and their reasons, plausibility limits, duplicate ids, statement memory.
#include "core/core_fixture.h"

namespace firvalve {
namespace {

// Settings without machine types, client timeouts or memory sizes impose no plausibility limits.
TEST(CoreSettings, MissingMachinesTimeoutsAndMemoryDoNotLimitAdmission) {
  RecordingSinkAndTransport recorder;
  Metrics metrics;
  Core core({{"profile.0.name", std::string("quick")}, {"profile.0.effect", std::string("replayable")}}, 1,
            recorder, recorder, metrics, [](const EngineHealthChange&) {});
  CommandRequest request;
  request.command = "9b1f03aa5c7e2d41";
  request.profile = "quick";
  request.timeout = duration_of(4000);
  request.estimated_work = duration_of(100);
  request.memory_mb = 64;
  EXPECT_EQ(core.admit(time_point_of(1000), CallId{1}, std::move(request)), AdmissionResult::kAdmitted);
}

TEST_F(CoreTest, UnknownProfileAndDuplicateIdAreRejectedWithAReason) {
  EXPECT_EQ(admit(1, "9b1f03aa5c7e2d41", "odd"), AdmissionResult::kUnknownProfile);
  EXPECT_EQ(admit(2), AdmissionResult::kAdmitted);
  EXPECT_EQ(admit(3), AdmissionResult::kDuplicateId);
  EXPECT_EQ(core.find_call("9b1f03aa5c7e2d41"), CallId{2});
}

TEST_F(CoreTest, ImplausibleTimeoutsAndEstimatesAreOutOfRange) {
  const auto admit_with = [&](Ms timeout, Ms estimate, double memory_mb) {
    return core.admit(time_point_of(1000), CallId{1},
                      {"9b1f03aa5c7e2d41", "quick", "select 1", -1, duration_of(timeout),
                       duration_of(estimate), memory_mb});
  };
  EXPECT_EQ(admit_with(1e23, 100, 10), AdmissionResult::kOutOfRange);
  EXPECT_EQ(admit_with(4000, 1e9, 10), AdmissionResult::kOutOfRange);
  EXPECT_EQ(admit_with(4000, 100, 1e12), AdmissionResult::kOutOfRange);
  EXPECT_EQ(core.active_command_count(), 0u);
  EXPECT_EQ(admit_with(4000, 100, 10), AdmissionResult::kAdmitted);
}

TEST_F(CoreTest, IdCanBeReusedOnlyAfterThePolicysNextDecision) {
  list_engine("s-00000001");
  core.decide(time_point_of(1000));
  admit(1);
  core.client_gone(time_point_of(1000), CallId{1});
  EXPECT_EQ(admit(2), AdmissionResult::kDuplicateId);
  core.decide(time_point_of(1005));
  EXPECT_EQ(admit(3), AdmissionResult::kAdmitted);
  core.client_gone(time_point_of(1005), CallId{3});
  core.decide(time_point_of(1010));
  EXPECT_TRUE(recorder.started.empty());
  EXPECT_EQ(core.active_command_count(), 0u);
}

TEST_F(CoreTest, PendingCommandsWithTheirStatementsStayWithinTheByteLimit) {
  core.set_max_pending_bytes(PendingCommands::kRecordBytes + 10);
  EXPECT_EQ(admit(1), AdmissionResult::kAdmitted);
  EXPECT_EQ(admit(2, "0000000000000002"), AdmissionResult::kNoCapacity);
  core.client_gone(time_point_of(1000), CallId{1});
  core.decide(time_point_of(1005));  // erases it
  EXPECT_EQ(admit(3, "0000000000000003"), AdmissionResult::kAdmitted);
}

// Guards against a process over its memory limit: many commands of a few bytes each were not counted.
TEST_F(CoreTest, RecordsOfCommandsCountUntilTheyAreErased) {
  core.set_max_pending_bytes(2 * PendingCommands::kRecordBytes + 100);
  EXPECT_EQ(admit(1), AdmissionResult::kAdmitted);
  EXPECT_EQ(admit(2, "0000000000000002"), AdmissionResult::kAdmitted);
  EXPECT_EQ(admit(3, "0000000000000003"), AdmissionResult::kNoCapacity);
  core.client_gone(time_point_of(1000), CallId{1});
  EXPECT_EQ(admit(4, "0000000000000004"), AdmissionResult::kNoCapacity);
  core.decide(time_point_of(1005));
  EXPECT_EQ(admit(5, "0000000000000005"), AdmissionResult::kAdmitted);
}

}  // namespace
}  // namespace firvalve
