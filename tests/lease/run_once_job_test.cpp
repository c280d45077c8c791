// Tests of the encoding of RunOnceJob.
#include "lease/run_once_job.h"

#include <gtest/gtest.h>

namespace firvalve::lease {
namespace {

TEST(RunOnceJobTest, UnreadableBytesDecodeAsUnknownNotAsNone) {
  EXPECT_EQ(decode_run_once_job("").stage, RunOnceJob::Stage::kNone);
  EXPECT_EQ(decode_run_once_job("garbage").stage, RunOnceJob::Stage::kUnknown);
  RunOnceJob job;
  job.stage = RunOnceJob::Stage::kStarted;
  job.run_id = 5;
  EXPECT_EQ(decode_run_once_job(encode(job)), job);
  for (size_t cut = 1; cut < encode(job).size(); ++cut)
    EXPECT_NE(decode_run_once_job(encode(job).substr(0, cut)).stage, RunOnceJob::Stage::kNone);
}

}  // namespace
}  // namespace firvalve::lease
