// Bytes read from a peer and not yet used. Messages are slices of it; a slice is good until the next
// prepare().
#pragma once

#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace firvalve::proto {

class ReadBuffer {
 public:
  // Space for the next read, at least so many bytes. One byte more is kept behind it, for parsers that want
  // an end mark there.
  std::span<char> prepare(size_t min_bytes) {
    if (first_ > 0 && (first_ == last_ || bytes_.size() < last_ + min_bytes + 1)) {
      if (last_ > first_) std::memmove(bytes_.data(), bytes_.data() + first_, last_ - first_);
      last_ -= first_;
      first_ = 0;
    }
    if (bytes_.size() < last_ + min_bytes + 1) bytes_.resize(last_ + min_bytes + 1);
    return {bytes_.data() + last_, bytes_.size() - last_ - 1};
  }
  void commit(size_t count) { last_ += count; }
  void append(std::string_view text) {
    std::memcpy(prepare(text.size()).data(), text.data(), text.size());
    commit(text.size());
  }
  std::span<char> unread() { return {bytes_.data() + first_, last_ - first_}; }
  std::string_view text() const { return {bytes_.data() + first_, last_ - first_}; }
  void consume(size_t count) { first_ += count; }
  size_t capacity() const { return bytes_.capacity(); }
  // Gives the space back where nothing is held, so that idle connections cost little.
  void release_if_empty() {
    if (first_ == last_) {
      std::vector<char>().swap(bytes_);
      first_ = last_ = 0;
    }
  }

 private:
  std::vector<char> bytes_;
  size_t first_ = 0, last_ = 0;
};

// What a reader made of the bytes held: more are wanted, a whole message, or no message can come of them.
enum class ReadResult { kIncomplete, kComplete, kMalformed };

}  // namespace firvalve::proto
