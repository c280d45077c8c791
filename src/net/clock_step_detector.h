// Detects that the wall clock was stepped. Nothing in the gateway measures a span by that clock, but the
// times of the log's lines move with it. No clock of its own: both readings are passed in.
#pragma once

#include <cmath>
#include <optional>

#include "base/time.h"

namespace firvalve::net {

class ClockStepDetector {
 public:
  // Takes both clocks, read together; `wall` since the Unix epoch. Gives by how much the wall clock was
  // stepped since the call before, forward positive, where that is more than it is ever slewed by.
  std::optional<Duration> find_step(TimePoint monotonic, Duration wall) {
    const Duration offset = wall - monotonic.time_since_epoch();
    const Duration moved = last_offset_ ? offset - *last_offset_ : Duration::zero();
    last_offset_ = offset;
    if (std::abs(moved.count()) < kMinStep.count()) return std::nullopt;
    return moved;
  }

 private:
  // Above what slewing and the distance between the two readings can make.
  static constexpr Duration kMinStep = std::chrono::milliseconds(50);
  std::optional<Duration> last_offset_;
};

}  // namespace firvalve::net
