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
  // The first wait lies between half of `first_delay` and one and a half times as much; none is longer than
  // `max_delay`.
  Backoff(Ms first_delay, Ms max_delay, uint64_t seed)
      : first_delay_(first_delay), max_delay_(std::max(first_delay, max_delay)), random_(seed) {}

  Ms next_delay() {  // after a failure
    const Ms width =
        std::min(first_delay_ * static_cast<double>(1 << std::min(failures_++, kMaxDoublings)), max_delay_);
    return std::min(width / 2 + draw_jitter(width), max_delay_);
  }
  void reset() { failures_ = 0; }  // it has come back: the next failure is the first again
  Ms draw_jitter(Ms max_jitter) { return std::uniform_real_distribution<Ms>(0, max_jitter)(random_); }

 private:
  static constexpr int kMaxDoublings = 16;  // of the first wait: past any end
  Ms first_delay_, max_delay_;
  int failures_ = 0;
  pcg32 random_;
};

}  // namespace firvalve
