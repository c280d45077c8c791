#include "lease/run_once_job.h"

#include <gtest/gtest.h>

namespace firvalve::lease {
namespace {

TEST(RunOnceJobTest, UnreadableBytesAreNeverTakenForAJobThatDidNotStart) {
  EXPECT_EQ(decode_run_once_job("").stage, RunOnceJob::Stage::kNone);
  EXPECT_EQ(decode_run_once_job("garbage").stage, RunOnceJob::Stage::kUnknown);
  RunOnceJob m;
  m.stage = RunOnceJob::Stage::kStarted;
  m.run_id = 5;
  EXPECT_EQ(decode_run_once_job(encode(m)), m);
  for (size_t cut = 1; cut < encode(m).size(); ++cut)
    EXPECT_NE(decode_run_once_job(encode(m).substr(0, cut)).stage, RunOnceJob::Stage::kNone);
}

}  // namespace
}  // namespace firvalve::lease
