// Detects steps of the wall clock. The gateway measures no durations with that clock, but a step shifts the
// timestamps of log lines. The caller passes in the readings of both clocks.
#pragma once

#include <cmath>
#include <optional>

#include "base/time.h"

namespace firvalve::net {

class ClockStepDetector {
 public:
  // Takes readings of both clocks made at the same moment; `wall` counts from the Unix epoch. Returns the
  // size of the wall clock's step since the previous call (positive: forward); empty: there was no step.
  std::optional<Duration> find_step(TimePoint monotonic, Duration wall) {
    const Duration offset = wall - monotonic.time_since_epoch();
    const Duration step = last_offset_ ? offset - *last_offset_ : Duration::zero();
    last_offset_ = offset;
    if (std::abs(step.count()) < kMinStep.count()) return std::nullopt;
    return step;
  }

 private:
  // Larger than any offset change caused by slewing or by the delay between the two readings.
  static constexpr Duration kMinStep = std::chrono::milliseconds(50);
  std::optional<Duration> last_offset_;
};

}  // namespace firvalve::net
