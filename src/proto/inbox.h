// Bytes read from a peer and not yet used. Messages are slices of it; a slice is good until the next room().
#pragma once

#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace firvalve::proto {

class Inbox {
 public:
  // Space for the next read, at least so many bytes. One byte more is kept behind it, for parsers that want
  // an end mark there.
  std::span<char> room(size_t least) {
    if (first_ > 0 && (first_ == last_ || bytes_.size() < last_ + least + 1)) {
      if (last_ > first_) std::memmove(bytes_.data(), bytes_.data() + first_, last_ - first_);
      last_ -= first_;
      first_ = 0;
    }
    if (bytes_.size() < last_ + least + 1) bytes_.resize(last_ + least + 1);
    return {bytes_.data() + last_, bytes_.size() - last_ - 1};
  }
  void filled(size_t count) { last_ += count; }
  void add(std::string_view text) {
    std::memcpy(room(text.size()).data(), text.data(), text.size());
    filled(text.size());
  }
  std::span<char> held() { return {bytes_.data() + first_, last_ - first_}; }
  std::string_view text() const { return {bytes_.data() + first_, last_ - first_}; }
  void used(size_t count) { first_ += count; }
  size_t space() const { return bytes_.capacity(); }
  // Gives the space back where nothing is held, so that idle connections cost little.
  void rest() {
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
enum class Read { kMore, kWhole, kBroken };

}  // namespace firvalve::proto
