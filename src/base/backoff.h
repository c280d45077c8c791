// When that which failed is tried again: after waits that grow with each failure in a row up to an end, each
// drawn anew. Guards against many gateways that lose one thing in the same moment and would come back to it
// in step, again and again. No clock and no I/O; the chance comes from the gateway's own seed, so that the
// same events give the same waits.
#pragma once

#include <algorithm>
#include <cstdint>
#include <pcg_random.hpp>
#include <random>

#include "base/units.h"

namespace firvalve {

class Backoff {
 public:
  // The first wait lies between half of `first` and one and a half times as much; none is longer than `most`.
  Backoff(Ms first, Ms most, uint64_t seed) : first_(first), most_(std::max(first, most)), chance_(seed) {}

  Ms next_delay() {  // after a failure
    const Ms width =
        std::min(first_ * static_cast<double>(1 << std::min(failures_++, kDoublingsMost)), most_);
    return std::min(width / 2 + spread(width), most_);
  }
  void reset() { failures_ = 0; }  // it has come back: the next failure is the first again
  Ms spread(Ms over) { return std::uniform_real_distribution<Ms>(0, over)(chance_); }

 private:
  static constexpr int kDoublingsMost = 16;  // of the first wait: past any end
  Ms first_, most_;
  int failures_ = 0;
  pcg32 chance_;
};

}  // namespace firvalve
