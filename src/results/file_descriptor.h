// Owns a file descriptor and closes it. Not thread-safe.
#pragma once

#include <unistd.h>

#include <utility>

namespace firvalve::results {

class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}  // negative: owns no descriptor
  ~FileDescriptor() { reset(); }
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, kNone)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      reset();
      descriptor_ = std::exchange(other.descriptor_, kNone);
    }
    return *this;
  }

  explicit operator bool() const { return descriptor_ >= 0; }
  int get() const { return descriptor_; }

 private:
  static constexpr int kNone = -1;
  void reset() {
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, kNone));
  }
  int descriptor_ = kNone;
};

}  // namespace firvalve::results
