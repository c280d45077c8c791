// Exponential backoff with jitter: the delays before retries double with each consecutive failure, up to a
// maximum. The jitter spreads the retries of gateways that lost the same server at the same moment and would
// otherwise reconnect to it in lockstep. No clock and no I/O. The random numbers come from the gateway's own
// seed, so that the same events give the same delays.
#pragma once

#include <algorithm>
#include <cstdint>
#include <pcg_random.hpp>
#include <random>

#include "base/units.h"

namespace firvalve {

class Backoff {
 public:
  // The first delay lies between 0.5 and 1.5 times `first_delay`. No delay exceeds `max_delay`.
  Backoff(Ms first_delay, Ms max_delay, uint64_t seed)
      : first_delay_(first_delay), max_delay_(std::max(first_delay, max_delay)), random_(seed) {}

  // The delay before the next retry. To be called once per failure.
  Ms next_delay() {
    const Ms width =
        std::min(first_delay_ * static_cast<double>(1 << std::min(failures_++, kMaxDoublings)), max_delay_);
    return std::min(width / 2 + draw_jitter(width), max_delay_);
  }
  // To be called after a success: the next failure counts as the first again.
  void reset() { failures_ = 0; }
  // A random time between 0 and `max_jitter`.
  Ms draw_jitter(Ms max_jitter) { return std::uniform_real_distribution<Ms>(0, max_jitter)(random_); }

 private:
  static constexpr int kMaxDoublings = 16;  // of the first delay; far beyond any max_delay
  Ms first_delay_, max_delay_;
  int failures_ = 0;
  pcg32 random_;
};

}  // namespace firvalve
