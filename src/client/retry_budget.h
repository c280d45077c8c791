// Bounds how many retries a client sends, as a share of its first attempts. No clock, no I/O, no random
// numbers of its own.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "client/sliding_counters.h"

namespace firvalve::client {

// In the window that ends with any retry, retries are at most share x first attempts + `rounding`, where
// `rounding` in [0, 1) is drawn by the client, anew each window. So one client with few calls may retry now
// and then, and a hundred such clients together retry `share` in the mean.
// Guards against the flood that retries make of an outage; it may cost a lone client the one retry that would
// have helped.
class RetryBudget {
 public:
  RetryBudget(double share, Duration window) : share_(share), window_(window), counters_(window) {}

  void record_first_attempt(TimePoint now) { counters_.add(now, kFirstAttempts); }
  void record_retry(TimePoint now) { counters_.add(now, kRetries); }
  // Whether one more retry keeps the bound, beside `reserved` others that were allowed and not sent yet.
  bool allows_retry(TimePoint now, uint64_t reserved = 0) const;
  // Whether a window has passed since the rounding was drawn.
  bool needs_rounding(TimePoint now) const { return !rounding_until_ || now >= *rounding_until_; }
  void set_rounding(TimePoint now, double rounding) {
    rounding_ = rounding;
    rounding_until_ = now + window_;
  }

 private:
  static constexpr auto kFirstAttempts = SlidingCounters::kFirst, kRetries = SlidingCounters::kSecond;
  double share_, rounding_ = 0;
  Duration window_;
  std::optional<TimePoint> rounding_until_;
  SlidingCounters counters_;
};

}  // namespace firvalve::client
