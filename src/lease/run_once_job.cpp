#include "lease/run_once_job.h"

#include "run_once_job_generated.h"

namespace firvalve::lease {

std::string encode(const RunOnceJob& job) {
  flatbuffers::FlatBufferBuilder builder(64 + job.rows.size());
  const auto rows = builder.CreateString(job.rows);
  wire::RunOnceJobBuilder out(builder);
  out.add_stage(static_cast<wire::Stage>(job.stage));
  out.add_run_id(job.run_id);
  out.add_statement_hash(job.statement_hash);
  out.add_rows(rows);
  out.add_is_result_empty(job.stage == RunOnceJob::Stage::kCompleted && job.rows.empty());
  builder.Finish(out.Finish());
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

RunOnceJob decode_run_once_job(std::string_view bytes) {
  if (bytes.empty()) return {};
  const auto* const data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  RunOnceJob job;
  job.stage = RunOnceJob::Stage::kUnknown;
  if (bytes.size() < 8 || !verifier.VerifyBuffer<wire::RunOnceJob>()) return job;
  const auto* const in = flatbuffers::GetRoot<wire::RunOnceJob>(data);
  if (in->stage() <= wire::Stage_MAX) job.stage = static_cast<RunOnceJob::Stage>(in->stage());
  job.run_id = in->run_id();
  job.statement_hash = in->statement_hash();
  if (in->rows()) job.rows = in->rows()->str();
  if (job.stage == RunOnceJob::Stage::kCompleted && job.rows.empty() && !in->is_result_empty())
    job.stage = RunOnceJob::Stage::kCompletedWithoutResult;
  return job;
}

}  // namespace firvalve::lease
