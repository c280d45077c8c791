// Limits a client's retries to a share of its first attempts. No I/O; time and random numbers are parameters.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "client/sliding_counters.h"

namespace firvalve::client {

// In the window that ends with any retry, retries are at most share * first attempts + `rounding`. The client
// draws `rounding` from [0, 1) once per window, so that a client with few calls can retry occasionally, while
// many such clients together retry `share` of their first attempts on average.
// This prevents retry storms during an outage. The cost: a single client may lack a retry that would have
// succeeded.
class RetryBudget {
 public:
  RetryBudget(double share, Duration window) : share_(share), window_(window), counters_(window) {}

  void record_first_attempt(TimePoint now) { counters_.add(now, kFirstAttempts); }
  void record_retry(TimePoint now) { counters_.add(now, kRetries); }
  // Whether one more retry is within the budget, given `reserved` retries that were granted but not sent yet.
  bool allows_retry(TimePoint now, uint64_t reserved = 0) const;
  // Whether a window has passed since set_rounding().
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
