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

RunOnceJob completed_job(std::string rows) { return {RunOnceJob::Stage::kCompleted, 0, 6, std::move(rows)}; }

TEST(RunOnceJobTest, ResultsWithAndWithoutRowsAreReadAsTheyWereWritten) {
  for (const size_t length : {size_t{0}, size_t{1}, kMaxStoredRowsBytes}) {
    const RunOnceJob job = completed_job(std::string(length, 'r'));
    EXPECT_EQ(decode_run_once_job(encode(job)), job) << length;
  }
  RunOnceJob job = completed_job("");
  job.stage = RunOnceJob::Stage::kCompletedWithoutResult;
  EXPECT_EQ(decode_run_once_job(encode(job)), job);
}

// Guards against a result that an older program has dropped from its record and that is served as empty.
TEST(RunOnceJobTest, EmptyResultOfAnOlderProgramIsReadAsNotStored) {
  // As 4eed14c has written it.
  const unsigned char bytes[] = {0x10, 0, 0, 0, 0x0c, 0, 0x18, 0,    0x17, 0, 0, 0, 0x08, 0, 0x04, 0,
                                 0x0c, 0, 0, 0, 0x14, 0, 0,    0,    0x06, 0, 0, 0, 0,    0, 0,    0,
                                 0,    0, 0, 0, 0,    0, 0,    0x02, 0,    0, 0, 0, 0,    0, 0,    0};
  const RunOnceJob job = decode_run_once_job({reinterpret_cast<const char*>(bytes), sizeof bytes});
  EXPECT_EQ(job.stage, RunOnceJob::Stage::kCompletedWithoutResult);
  EXPECT_EQ(job.statement_hash, 6u);
}

// Guards against a job that is started again because a newer program has recorded its end.
TEST(RunOnceJobTest, StageOfANewerProgramIsReadAsUnknown) {
  RunOnceJob job = completed_job("");
  job.stage = static_cast<RunOnceJob::Stage>(200);
  EXPECT_EQ(decode_run_once_job(encode(job)).stage, RunOnceJob::Stage::kUnknown);
}

}  // namespace
}  // namespace firvalve::lease
