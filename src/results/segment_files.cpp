#include "results/segment_files.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <span>
#include <system_error>
#include <utility>

namespace firvalve::results {

namespace {

std::string last_error() { return std::generic_category().message(errno); }

bool write_all(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(file, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

// Reads from `offset` until the buffer is full, the file ends or a read fails. Returns the number of bytes
// read.
size_t read_at(int file, size_t offset, std::span<char> buffer) {
  size_t bytes_read = 0;
  while (bytes_read < buffer.size()) {
    const ssize_t count = ::pread(file, buffer.data() + bytes_read, buffer.size() - bytes_read,
                                  static_cast<off_t>(offset + bytes_read));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    bytes_read += static_cast<size_t>(count);
  }
  return bytes_read;
}

std::string read_file(int file) {
  struct stat status {};
  if (::fstat(file, &status) != 0) return {};
  std::string contents(static_cast<size_t>(status.st_size), '\0');
  contents.resize(read_at(file, 0, contents));
  return contents;
}

std::optional<size_t> segment_number(const std::string& file_name) {
  constexpr std::string_view kPrefix = "segment-";
  if (!file_name.starts_with(kPrefix) || file_name.size() != 18 ||
      file_name.find_first_not_of("0123456789", kPrefix.size()) != std::string::npos)
    return std::nullopt;
  return std::stoull(file_name.substr(kPrefix.size()));
}

}  // namespace

StorageError::StorageError(const std::string& folder, const std::string& reason)
    : std::runtime_error(fmt::format("spool folder {}: {}", folder, reason)) {}

std::string SegmentFiles::path_of(size_t segment) const {
  return fmt::format("{}/segment-{:010}", options_.folder, segment);
}

SegmentFiles::SegmentFiles(const Options& options, TimePoint now, std::function<void()> wake)
    : options_(options), wake_(std::move(wake)) {
  lock_folder();
  const std::vector<size_t> segments = list_segments();
  recover(segments, now);
  if (!segments.empty()) {
    first_segment_ = segments.front();
    current_segment_ = segments.back();
  }
  if (!open_next_segment()) throw StorageError(options_.folder, last_error());
  thread_ = std::thread([this] { run(); });
}

SegmentFiles::~SegmentFiles() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  task_posted_.notify_all();
  thread_.join();
}

void SegmentFiles::lock_folder() {
  std::error_code error;
  std::filesystem::create_directories(options_.folder, error);
  if (error) throw StorageError(options_.folder, error.message());
  lock_ = FileDescriptor(::open((options_.folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock_) throw StorageError(options_.folder, last_error());
  if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
    throw StorageError(options_.folder, "another gateway uses it");
}

std::vector<size_t> SegmentFiles::list_segments() const {
  std::vector<size_t> segments;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(options_.folder, error))
    if (const auto number = segment_number(entry.path().filename())) segments.push_back(*number);
  std::sort(segments.begin(), segments.end());
  return segments;
}

void SegmentFiles::recover(const std::vector<size_t>& segments, TimePoint now) {
  Recovery recovery;
  for (const size_t segment : segments) {
    const FileDescriptor file(::open(path_of(segment).c_str(), O_RDWR | O_CLOEXEC));
    if (!file) continue;
    const auto torn_at = recovery.add_segment(segment, read_file(file.get()));
    if (torn_at && ::ftruncate(file.get(), static_cast<off_t>(*torn_at)) == 0) ++truncated_segments_;
  }
  if (options_.boot) {
    const Duration offset = load_or_create_lease_clock_offset(options_.folder, *options_.boot, now);
    lease_offset_ = options_.boot->now.time_since_epoch() + offset - now.time_since_epoch();
  }
  recovered_ = recovery.outcome(to_lease_time(now, lease_offset_));
}

bool SegmentFiles::open_next_segment() {
  FileDescriptor file(
      ::open(path_of(current_segment_ + 1).c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!file || !write_all(file.get(), kSegmentHeader)) return false;
  segment_file_ = std::move(file);
  segment_size_ = kSegmentHeader.size();
  const std::lock_guard lock(mutex_);
  ++current_segment_;
  return true;
}

void SegmentFiles::post(Task task) {
  {
    const std::lock_guard lock(mutex_);
    backlog_bytes_ += task.backlog_bytes;
    tasks_.push_back(std::move(task));
  }
  task_posted_.notify_one();
}

void SegmentFiles::append(std::optional<RequestId> request_id, SegmentRecord record) {
  Task task;
  task.request_id = request_id;
  task.backlog_bytes = kRecordHeadBytes + record.page.bytes.size();
  task.record = std::move(record);
  post(std::move(task));
}

void SegmentFiles::read(RequestId request_id, const RecordLocation& location) {
  Task task;
  task.kind = Task::Kind::kRead;
  task.request_id = request_id;
  task.location = location;
  post(std::move(task));
}

void SegmentFiles::delete_segments_before(size_t segment) {
  Task task;
  task.kind = Task::Kind::kDelete;
  task.location.segment = segment;
  post(std::move(task));
}

std::vector<Storage::Completion> SegmentFiles::take_completions() {
  const std::lock_guard lock(mutex_);
  return std::exchange(completions_, {});
}

size_t SegmentFiles::backlog_bytes() const {
  const std::lock_guard lock(mutex_);
  return backlog_bytes_;
}

size_t SegmentFiles::current_segment() const {
  const std::lock_guard lock(mutex_);
  return current_segment_;
}

Storage::Completion SegmentFiles::write_record(const Task& task) {
  Completion completion;
  std::string bytes;
  append_record(bytes, task.record);
  const bool is_full =
      segment_size_ + bytes.size() > options_.segment_bytes && segment_size_ > kSegmentHeader.size();
  if (is_full) open_next_segment();
  // If the disk becomes full in the middle of a record, recovery would discard everything after the torn
  // record. So the segment is truncated to its last intact record; if that fails, a new segment is started.
  if (!write_all(segment_file_.get(), bytes)) {
    if (::ftruncate(segment_file_.get(), static_cast<off_t>(segment_size_)) != 0 ||
        ::lseek(segment_file_.get(), static_cast<off_t>(segment_size_), SEEK_SET) < 0)
      open_next_segment();
    return completion;
  }
  const StoredPage& page = task.record.page;
  completion.succeeded = true;
  completion.location = {current_segment_, segment_size_ + kRecordHeadBytes, page.bytes.size(),
                         page.uncompressed_bytes, page.checksum};
  segment_size_ += bytes.size();
  return completion;
}

Storage::Completion SegmentFiles::read_body(const Task& task) const {
  Completion completion;
  const FileDescriptor file(::open(path_of(task.location.segment).c_str(), O_RDONLY | O_CLOEXEC));
  if (!file) return completion;
  completion.bytes.resize(task.location.length);
  completion.succeeded =
      read_at(file.get(), task.location.offset, completion.bytes) == completion.bytes.size();
  return completion;
}

void SegmentFiles::delete_segments(size_t end) {
  for (; first_segment_ < end; ++first_segment_) ::unlink(path_of(first_segment_).c_str());
}

void SegmentFiles::run() {
  for (;;) {
    Task task;
    {
      std::unique_lock lock(mutex_);
      task_posted_.wait(lock, [this] { return is_stopping_ || !tasks_.empty(); });
      if (tasks_.empty()) return;
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    if (task.kind == Task::Kind::kDelete) {
      delete_segments(task.location.segment);
      continue;
    }
    Completion completion = task.kind == Task::Kind::kAppend ? write_record(task) : read_body(task);
    bool is_first = false;
    {
      const std::lock_guard lock(mutex_);
      backlog_bytes_ -= task.backlog_bytes;
      if (task.request_id) {
        completion.request_id = *task.request_id;
        is_first = completions_.empty();
        completions_.push_back(std::move(completion));
      }
    }
    if (is_first) wake_();
  }
}

}  // namespace firvalve::results
