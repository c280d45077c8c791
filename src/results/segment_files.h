// Storage in segment files of one folder (`segment-0000000001` and so on), with a thread of its own for I/O.
//
// Records are appended to a segment until it is full. A segment is deleted when neither it nor an older
// segment has records that are still needed. Writes are not synced to disk (no fsync): data written before
// the process is killed survives. Data lost in a power failure shows as a torn tail or a checksum mismatch,
// and is not served.
//
// Threads: the constructor, the destructor and all public functions must be called by one thread, the event
// loop. They queue tasks for the storage thread under a mutex. After construction, only the storage thread
// accesses the files.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "results/file_descriptor.h"
#include "results/lease_clock.h"
#include "results/recovery.h"
#include "results/storage.h"

namespace firvalve::results {

// The folder cannot be created or written, or another gateway uses it.
class StorageError : public std::runtime_error {
 public:
  StorageError(const std::string& folder, const std::string& reason);
};

class SegmentFiles : public Storage {
 public:
  struct Options {
    std::string folder;
    size_t segment_bytes = size_t{16} * 1024 * 1024;
    std::optional<BootTime> boot = std::nullopt;  // nothing: the lease clock is the caller's clock
  };
  // Locks the folder, recovers the results of earlier incarnations and truncates torn tails. Calls `wake` on
  // the storage thread when the queue of completions becomes non-empty. Throws StorageError.
  SegmentFiles(const Options& options, TimePoint now, std::function<void()> wake);
  ~SegmentFiles() override;  // writes the backlog first

  void append(std::optional<RequestId> request_id, SegmentRecord record) override;
  void read(RequestId request_id, const RecordLocation& location) override;
  void delete_segments_before(size_t segment) override;
  std::vector<Completion> take_completions() override;
  size_t backlog_bytes() const override;
  size_t current_segment() const override;

  // Difference between the lease clock and the caller's clock; see to_lease_time().
  Duration lease_offset() const { return lease_offset_; }
  // Returns the results recovered at the start; empty from the second call on.
  std::vector<RecoveredResult> take_recovered_results() { return std::exchange(recovered_.results, {}); }
  size_t corrupt_results() const { return recovered_.corrupt_results; }
  size_t truncated_segments() const { return truncated_segments_; }

 private:
  struct Task {
    enum class Kind { kAppend, kRead, kDelete } kind = Kind::kAppend;
    std::optional<RequestId> request_id;
    SegmentRecord record;     // kAppend
    RecordLocation location;  // kRead; kDelete: its segment is the first to be retained
    size_t backlog_bytes = 0;
  };

  void lock_folder();
  std::vector<size_t> list_segments() const;  // their numbers, in order
  void recover(const std::vector<size_t>& segments, TimePoint now);
  void post(Task task);

  // Called by the storage thread; open_next_segment() and path_of() also by the constructor.
  void run();
  Completion write_record(const Task& task);
  Completion read_body(const Task& task) const;
  void delete_segments(size_t end);
  bool open_next_segment();
  std::string path_of(size_t segment) const;

  const Options options_;
  const std::function<void()> wake_;
  Duration lease_offset_{0};
  Recovery::Outcome recovered_;
  size_t truncated_segments_ = 0;
  FileDescriptor lock_;

  // Accessed by the storage thread only, after construction.
  FileDescriptor segment_file_;
  size_t segment_size_ = 0;   // size of the current segment in bytes
  size_t first_segment_ = 1;  // number of the oldest existing segment

  mutable std::mutex mutex_;  // guards the members below
  std::condition_variable task_posted_;
  std::deque<Task> tasks_;
  std::vector<Completion> completions_;
  size_t backlog_bytes_ = 0, current_segment_ = 0;
  bool is_stopping_ = false;

  std::thread thread_;
};

}  // namespace firvalve::results
