// Storage in segment files of one folder (`segment-0000000001` and so on), worked on by a thread of its own.
//
// A segment is appended to until it is full, and deleted once no segment up to it holds anything that is
// still needed. Writes are not forced to the disk: what a killed process had written is there after a
// restart; what a machine that loses power had written shows as a torn tail or a wrong checksum, and is not
// served.
//
// Threads: the constructor, the destructor and all functions belong to one thread, the event loop; they hand
// requests over a mutex to the storage thread, which alone touches the files after the constructor.
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

// The folder cannot be used: it cannot be created or written, or another gateway uses it.
class StorageError : public std::runtime_error {
 public:
  StorageError(const std::string& folder, const std::string& reason);
};

class SegmentFiles : public Storage {
 public:
  struct Options {
    std::string folder;
    size_t segment_bytes = size_t{16} * 1024 * 1024;
    std::optional<BootTime> boot = std::nullopt;  // nothing: lease times are the caller's own times
  };
  // Locks the folder, reads back what earlier incarnations stored and truncates torn tails. `wake` is called
  // on the storage thread when take_completions() has something after having had nothing. Throws
  // StorageError.
  SegmentFiles(const Options& options, TimePoint now, std::function<void()> wake);
  ~SegmentFiles() override;  // writes the backlog first

  void append(std::optional<RequestId> request_id, SegmentRecord record) override;
  void read(RequestId request_id, const RecordLocation& location) override;
  void delete_segments_before(size_t segment) override;
  std::vector<Completion> take_completions() override;
  size_t backlog_bytes() const override;
  size_t current_segment() const override;

  // By how much the clock of stored leases is ahead of the caller's.
  Duration lease_offset() const { return lease_offset_; }
  // What was read back at the start; the results once only.
  std::vector<RecoveredResult> take_recovered_results() { return std::exchange(recovered_.results, {}); }
  size_t corrupt_results() const { return recovered_.corrupt_results; }
  size_t truncated_segments() const { return truncated_segments_; }

 private:
  struct Task {
    enum class Kind { kAppend, kRead, kDelete } kind = Kind::kAppend;
    std::optional<RequestId> request_id;
    SegmentRecord record;     // kAppend
    RecordLocation location;  // kRead; kDelete: its segment is the first to stay
    size_t backlog_bytes = 0;
  };

  void lock_folder();
  std::vector<size_t> list_segments() const;  // their numbers, in order
  void recover(const std::vector<size_t>& segments, TimePoint now);
  void post(Task task);

  // The storage thread's, and the constructor's.
  void run();
  Completion write(const Task& task);
  Completion fetch(const Task& task) const;
  void delete_segments(size_t end);
  bool open_next_segment();
  std::string path_of(size_t segment) const;

  const Options options_;
  const std::function<void()> wake_;
  Duration lease_offset_{0};
  Recovery::Outcome recovered_;
  size_t truncated_segments_ = 0;
  FileDescriptor lock_;

  // The storage thread's.
  FileDescriptor segment_file_;
  size_t segment_size_ = 0;   // bytes of the current segment
  size_t first_segment_ = 1;  // the oldest that exists

  mutable std::mutex mutex_;  // guards what follows
  std::condition_variable task_posted_;
  std::deque<Task> tasks_;
  std::vector<Completion> completions_;
  size_t backlog_bytes_ = 0, current_segment_ = 0;
  bool is_ending_ = false;

  std::thread thread_;
};

}  // namespace firvalve::results
