// RunOnceJob: the progress and result of a run-once job, stored as the application state of the job's lease.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace firvalve::lease {

struct RunOnceJob {
  // The values are part of the stored format.
  enum class Stage : uint8_t {
    kNone,       // never started, or proved not to have run
    kStarted,    // may be running or have run
    kCompleted,  // ran; the result is in `rows`
    kFailed,     // failed; may have run
    kUnknown,    // the outcome is lost; may have run
  };
  Stage stage = Stage::kNone;
  uint64_t run_id = 0;          // for kStarted: unique per start
  uint64_t statement_hash = 0;  // an idempotency key belongs to one statement; 0: not known
  std::string rows;             // for kCompleted: empty if longer than kMaxStoredRowsBytes
  bool operator==(const RunOnceJob&) const = default;

  bool is_finished() const { return stage != Stage::kNone && stage != Stage::kStarted; }
};

// Longer rows are returned only to callers of the gateway that ran the job.
constexpr size_t kMaxStoredRowsBytes = 4096;

std::string encode(const RunOnceJob& job);
// Returns kNone for empty bytes, and kUnknown, never kNone, for bytes that are not a valid record.
RunOnceJob decode_run_once_job(std::string_view bytes);

}  // namespace firvalve::lease
