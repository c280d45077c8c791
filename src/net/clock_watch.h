// Notices that the wall clock was stepped. Nothing in the gateway measures a span by that clock; the log says
// when it moved, since its own times do. No clock of its own: both readings come in.
#pragma once

#include <cmath>
#include <optional>

#include "base/units.h"

namespace firvalve::net {

class ClockWatch {
 public:
  // Both clocks, read together, in ms. By how much the wall clock was stepped since the look before, where
  // that is more than it is ever slewed by; forward is positive.
  std::optional<Ms> step(Ms monotonic, Ms wall) {
    const Ms offset = wall - monotonic;
    const Ms moved = seen_ ? offset - offset_ : 0;
    seen_ = true;
    offset_ = offset;
    if (std::abs(moved) < kLeast) return std::nullopt;
    return moved;
  }

 private:
  static constexpr Ms kLeast = 50;  // ms: above what slewing and the two readings' distance can make
  bool seen_ = false;
  Ms offset_ = 0;
};

}  // namespace firvalve::net
