// Ring buffer of event times.
#include "policy/sliding_window.h"

#include <algorithm>

namespace firvalve {

void SlidingWindow::add(TimePoint time) {
  if (count_ == ring_.size()) {
    std::rotate(ring_.begin(), ring_.begin() + static_cast<std::ptrdiff_t>(first_), ring_.end());
    first_ = 0;
    ring_.resize(std::max<size_t>(64, 2 * ring_.size()));
  }
  ring_[(first_ + count_++) % ring_.size()] = time;
}

void SlidingWindow::erase_before(TimePoint time) {
  while (count_ > 0 && ring_[first_] < time) {
    first_ = (first_ + 1) % ring_.size();
    --count_;
  }
}

}  // namespace firvalve
