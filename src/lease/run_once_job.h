// RunOnceJob: the progress and result of a run-once job, stored as the application state of the job's lease.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace firvalve::lease {

struct RunOnceJob {
  // The values are part of the stored format.
  enum class Stage : uint8_t {
    kNone,                    // never started, or proved not to have run
    kStarted,                 // may be running or have run
    kCompleted,               // ran; `rows` is the whole result
    kFailed,                  // failed; may have run
    kUnknown,                 // the outcome is lost; may have run
    kCompletedWithoutResult,  // ran; the result was not stored. Older programs read it as kUnknown.
  };
  Stage stage = Stage::kNone;
  uint64_t run_id = 0;          // for kStarted: unique per start
  uint64_t statement_hash = 0;  // an idempotency key belongs to one statement; 0: not known
  std::string rows;             // for kCompleted, at most kMaxStoredRowsBytes
  bool operator==(const RunOnceJob&) const = default;

  bool is_finished() const { return stage != Stage::kNone && stage != Stage::kStarted; }
};

// The longest result that a client may get.
constexpr size_t kMaxStoredRowsBytes = 48000;

std::string encode(const RunOnceJob& job);
// Returns kNone for empty bytes, and kUnknown, never kNone, for bytes that are not a valid record. Older
// programs stored a long result as an empty one; such a record is returned as kCompletedWithoutResult.
RunOnceJob decode_run_once_job(std::string_view bytes);

}  // namespace firvalve::lease
