// Segment files in one folder, on a thread of their own. A segment is appended to until it is full, and
// dropped whole once nothing before its end is wanted. No write is waited for and none is forced to the disk:
// what a killed process had written is there, what a machine without power loses shows as a torn tail or a
// wrong checksum and is not served.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "results/lease_clock.h"
#include "results/storage.h"

namespace firvalve::results {

class SegmentFiles : public Storage {
 public:
  struct Options {
    std::string folder;
    size_t segment_bytes = 16 * 1024 * 1024;
    std::optional<BootTime> boot = std::nullopt;  // none: leases are written in the caller's own time
  };
  // Locks the folder, reads back what is there and cuts torn tails off. `wake` is called on the files' thread
  // when done() has something. Throws std::runtime_error in one sentence: the folder cannot be made or
  // written, or another gateway uses it.
  SegmentFiles(const Options& options, Ms now, std::function<void()> wake);
  ~SegmentFiles() override;  // what waits is written first

  void append(uint64_t request_id, Record record) override;
  void read(uint64_t request_id, const RecordLocation& location) override;
  void delete_segments_before(size_t segment) override;
  std::vector<Completion> take_completions() override;
  size_t backlog_bytes() const override;
  size_t current_segment() const override;

  // By how much the time in which leases are written lies past the caller's.
  Ms lease_offset() const { return lease_offset_; }
  // What was found at the start.
  std::vector<RecoveredResult> found;
  size_t broken = 0, cut = 0;  // results with a page that cannot be read; segments with a torn tail

 private:
  struct Task {
    enum class Kind { kAppend, kRead, kDrop } kind = Kind::kAppend;
    uint64_t request_id = 0;
    Record record;
    RecordLocation location;
    size_t bytes = 0;
  };
  void run();
  Completion write(const Task& task);
  Completion fetch(const Task& task);
  bool open_segment();
  std::string path_of(size_t segment) const;
  void post(Task task);

  const Options options_;
  std::function<void()> wake_;
  Ms lease_offset_ = 0;
  int lock_ = -1, segment_fd_ = -1;
  size_t written_ = 0, first_ = 1;  // bytes of the current segment; the oldest that is there
  mutable std::mutex mutex_;
  std::condition_variable wanted_;
  std::deque<Task> tasks_;
  std::vector<Completion> done_;
  size_t backlog_ = 0, current_ = 0;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace firvalve::results
