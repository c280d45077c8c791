// Counts events in a sliding time window. The event times are queued in a ring buffer that grows as needed.
#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"

namespace firvalve {

class SlidingWindow {
 public:
  void add(TimePoint time);           // times must be in ascending order
  void erase_before(TimePoint time);  // erases all earlier times
  size_t size() const { return count_; }

 private:
  std::vector<TimePoint> ring_;
  size_t first_ = 0, count_ = 0;
};

}  // namespace firvalve
