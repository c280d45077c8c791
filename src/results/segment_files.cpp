#include "results/segment_files.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <stdexcept>
#include <utility>

namespace firvalve::results {

namespace {

std::runtime_error unusable(const std::string& folder, const std::string& why) {
  return std::runtime_error(fmt::format("spool folder {}: {}", folder, why));
}

bool write_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::write(fd, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

std::string read_whole(int fd) {
  struct stat about {};
  if (::fstat(fd, &about) != 0) return {};
  std::string all(static_cast<size_t>(about.st_size), '\0');
  size_t got = 0;
  while (got < all.size()) {
    const ssize_t n = ::pread(fd, all.data() + got, all.size() - got, static_cast<off_t>(got));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    got += static_cast<size_t>(n);
  }
  all.resize(got);
  return all;
}

}  // namespace

std::string SegmentFiles::path_of(size_t segment) const {
  return fmt::format("{}/segment-{:010}", options_.folder, segment);
}

SegmentFiles::SegmentFiles(const Options& options, Ms now, std::function<void()> wake)
    : options_(options), wake_(std::move(wake)) {
  std::error_code error;
  std::filesystem::create_directories(options_.folder, error);
  if (error) throw unusable(options_.folder, error.message());
  lock_ = ::open((options_.folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) throw unusable(options_.folder, std::strerror(errno));
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock_);
    throw unusable(options_.folder, "another gateway uses it");
  }
  std::vector<size_t> numbers;
  for (const auto& entry : std::filesystem::directory_iterator(options_.folder, error)) {
    const std::string name = entry.path().filename();
    if (name.starts_with("segment-") && name.find_first_not_of("0123456789", 8) == std::string::npos &&
        name.size() == 18)
      numbers.push_back(std::stoull(name.substr(8)));
  }
  std::sort(numbers.begin(), numbers.end());
  Recovery recovery;
  for (const size_t number : numbers) {
    const int fd = ::open(path_of(number).c_str(), O_RDWR | O_CLOEXEC);
    if (fd < 0) {
      ++broken;
      continue;
    }
    const size_t end = recovery.handle(number, read_whole(fd));
    if (end != std::string_view::npos && ::ftruncate(fd, static_cast<off_t>(end)) == 0) ++cut;
    ::close(fd);
  }
  if (options_.boot) {
    const Ms offset = lease_clock_offset(options_.folder, *options_.boot, now);
    lease_offset_ = options_.boot->since_boot + offset - now;
  }
  found = recovery.found(now + lease_offset_, broken);
  if (!numbers.empty()) {
    first_ = numbers.front();
    current_ = numbers.back();
  }
  if (!open_segment()) {
    const std::string why = std::strerror(errno);
    ::close(lock_);
    throw unusable(options_.folder, why);
  }
  thread_ = std::thread([this] { run(); });
}

SegmentFiles::~SegmentFiles() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  wanted_.notify_all();
  thread_.join();
  if (segment_fd_ >= 0) ::close(segment_fd_);
  ::close(lock_);
}

bool SegmentFiles::open_segment() {
  const int fd = ::open(path_of(current_ + 1).c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return false;
  if (!write_all(fd, kSegmentHeader)) {
    ::close(fd);
    return false;
  }
  if (segment_fd_ >= 0) ::close(segment_fd_);
  segment_fd_ = fd;
  written_ = kSegmentHeader.size();
  const std::lock_guard lock(mutex_);
  ++current_;
  return true;
}

void SegmentFiles::post(Task task) {
  {
    const std::lock_guard lock(mutex_);
    backlog_ += task.bytes;
    tasks_.push_back(std::move(task));
  }
  wanted_.notify_one();
}

void SegmentFiles::append(uint64_t request_id, Record record) {
  Task t;
  t.request_id = request_id;
  t.bytes = kRecordHeaderBytes + record.stored.bytes.size();
  t.record = std::move(record);
  post(std::move(t));
}

void SegmentFiles::read(uint64_t request_id, const RecordLocation& location) {
  Task t;
  t.kind = Task::Kind::kRead;
  t.request_id = request_id;
  t.location = location;
  post(std::move(t));
}

void SegmentFiles::delete_segments_before(size_t segment) {
  Task t;
  t.kind = Task::Kind::kDrop;
  t.location.segment = segment;
  post(std::move(t));
}

std::vector<Storage::Completion> SegmentFiles::take_completions() {
  const std::lock_guard lock(mutex_);
  return std::exchange(done_, {});
}

size_t SegmentFiles::backlog_bytes() const {
  const std::lock_guard lock(mutex_);
  return backlog_;
}

size_t SegmentFiles::current_segment() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

Storage::Completion SegmentFiles::write(const Task& task) {
  Completion d;
  d.request_id = task.request_id;
  std::string bytes;
  append_record(bytes, task.record);
  if (written_ + bytes.size() > options_.segment_bytes && written_ > kSegmentHeader.size()) open_segment();
  // Guards against a disk that is full in the middle of a record: what follows would be behind a torn one,
  // and lost with it. The record goes again whole, or not at all.
  if (!write_all(segment_fd_, bytes)) {
    if (::ftruncate(segment_fd_, static_cast<off_t>(written_)) != 0 ||
        ::lseek(segment_fd_, static_cast<off_t>(written_), SEEK_SET) < 0)
      open_segment();
    return d;
  }
  d.succeeded = true;
  const std::lock_guard lock(mutex_);
  d.location = {current_, written_ + kRecordHeaderBytes, task.record.stored.bytes.size(),
                task.record.stored.uncompressed_bytes, task.record.stored.checksum};
  written_ += bytes.size();
  return d;
}

Storage::Completion SegmentFiles::fetch(const Task& task) {
  Completion d;
  d.request_id = task.request_id;
  const int fd = ::open(path_of(task.location.segment).c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return d;
  d.bytes.resize(task.location.length);
  size_t got = 0;
  while (got < d.bytes.size()) {
    const ssize_t n = ::pread(fd, d.bytes.data() + got, d.bytes.size() - got,
                              static_cast<off_t>(task.location.offset + got));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    got += static_cast<size_t>(n);
  }
  ::close(fd);
  d.succeeded = got == d.bytes.size();
  return d;
}

void SegmentFiles::run() {
  for (;;) {
    Task task;
    {
      std::unique_lock lock(mutex_);
      wanted_.wait(lock, [&] { return ending_ || !tasks_.empty(); });
      if (tasks_.empty()) return;
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    if (task.kind == Task::Kind::kDrop) {
      for (; first_ < task.location.segment; ++first_) ::unlink(path_of(first_).c_str());
      continue;
    }
    Completion d = task.kind == Task::Kind::kAppend ? write(task) : fetch(task);
    bool wake = false;
    {
      const std::lock_guard lock(mutex_);
      backlog_ -= task.bytes;
      if (d.request_id != 0) {
        wake = done_.empty();
        done_.push_back(std::move(d));
      }
    }
    if (wake) wake_();
  }
}

}  // namespace firvalve::results
