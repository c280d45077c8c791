// RunOnceJob: the application state in the lease of a run-once job, how far the job has come.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace firvalve::lease {

struct RunOnceJob {
  // The values are stored.
  enum class Stage : uint8_t {
    kNone,       // never started, or proved not to have run
    kStarted,    // it may be running or have run
    kCompleted,  // rows
    kFailed,     // it may have run
    kUnknown,    // its end is not known to anybody: it may have run
  };
  Stage stage = Stage::kNone;
  uint64_t run_id = 0;          // of kStarted: unique for each start
  uint64_t statement_hash = 0;  // one key stands for one statement; 0: not known
  std::string rows;             // of kCompleted, up to kMaxStoredRowsBytes
  bool operator==(const RunOnceJob&) const = default;

  bool is_finished() const { return stage != Stage::kNone && stage != Stage::kStarted; }
};

constexpr size_t kMaxStoredRowsBytes =
    4096;  // longer rows go to the callers of the gateway that ran it alone

std::string encode(const RunOnceJob& job);
// Of no bytes: kNone. Of bytes that cannot be read: kUnknown, never kNone.
RunOnceJob decode_run_once_job(std::string_view bytes);

}  // namespace firvalve::lease
