// A buffer for bytes that were received but not consumed yet. Parsers return messages as slices of it; a
// slice is valid until the next prepare().
#pragma once

#include <algorithm>
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace firvalve::proto {

class ReadBuffer {
 public:
  // Returns free space of at least min_bytes for the next read. One more byte is allocated after it, since
  // parsers may write a terminating NUL there.
  std::span<char> prepare(size_t min_bytes) {
    if (begin_ > 0 && (begin_ == end_ || bytes_.size() < end_ + min_bytes + 1)) {
      if (end_ > begin_) std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
      end_ -= begin_;
      begin_ = 0;
    }
    if (bytes_.size() < end_ + min_bytes + 1) {
      bytes_.reserve(capacity_for(end_ + min_bytes + 1));
      bytes_.resize(end_ + min_bytes + 1);
    }
    return {bytes_.data() + end_, bytes_.size() - end_ - 1};
  }
  void commit(size_t count) { end_ += count; }
  void append(std::string_view text) {
    std::memcpy(prepare(text.size()).data(), text.data(), text.size());
    commit(text.size());
  }
  std::span<char> unread() { return {bytes_.data() + begin_, end_ - begin_}; }
  std::string_view text() const { return {bytes_.data() + begin_, end_ - begin_}; }
  void consume(size_t count) { begin_ += count; }
  size_t capacity() const { return bytes_.capacity(); }
  // By how much append() of so many bytes raises the capacity.
  size_t growth(size_t count) const { return capacity_for(end_ - begin_ + count + 1) - bytes_.capacity(); }
  // Frees the memory if the buffer is empty, so that idle connections use little memory.
  void release_if_empty() {
    if (begin_ == end_) clear();
  }
  // Frees all memory if the buffer is empty, and most of it if less than a quarter is in use: a connection
  // whose peer has sent little uses little. Invalidates slices.
  void release_unused() {
    constexpr size_t kMinUsedParts = 4;
    const std::string_view unread_text = text();
    if (unread_text.empty()) return clear();
    if (unread_text.size() * kMinUsedParts >= bytes_.capacity()) return;
    std::vector<char> smaller(unread_text.size() + 1);  // with the byte for a terminating NUL
    std::memcpy(smaller.data(), unread_text.data(), unread_text.size());
    end_ = unread_text.size();
    begin_ = 0;
    bytes_.swap(smaller);
  }
  // Drops the unread bytes and frees the memory.
  void clear() {
    std::vector<char>().swap(bytes_);
    begin_ = end_ = 0;
  }

 private:
  // Grows by a quarter, so that a buffer takes little more than it holds and bytes are moved seldom.
  size_t capacity_for(size_t size) const {
    const size_t capacity = bytes_.capacity();
    return size <= capacity ? capacity : std::max(size, capacity + capacity / 4);
  }

  std::vector<char> bytes_;
  size_t begin_ = 0, end_ = 0;
};

// Result of parsing the buffered bytes: more bytes are needed, a complete message was read, or the bytes are
// malformed.
enum class ReadResult { kIncomplete, kComplete, kMalformed };

}  // namespace firvalve::proto
