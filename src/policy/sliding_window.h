// Counts events within a window of time: a queue of their times in a ring buffer that grows as needed.
#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"

namespace firvalve {

class SlidingWindow {
 public:
  void add(TimePoint time);  // times come in ascending order
  void forget_before(TimePoint time);
  size_t size() const { return count_; }

 private:
  std::vector<TimePoint> ring_;
  size_t first_ = 0, count_ = 0;
};

}  // namespace firvalve
