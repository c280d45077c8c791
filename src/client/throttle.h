// Adaptive client-side throttling: the client refuses part of its own calls while the gateways refuse most of
// them. No I/O; time and random numbers are parameters.
#pragma once

#include "base/time.h"
#include "client/sliding_counters.h"

namespace firvalve::client {

// The rejection probability is (all - 2 * accepted) / (all + 1), over the calls in the window, and 0 below
// ten calls. `all` counts throttled calls and answered attempts, at the time of the answer; `accepted` counts
// the answers that are no refusals. The formula is that of client-side throttling in Google's "Site
// Reliability Engineering", chapter 21. In the first seconds after an overload it may reject calls that the
// gateways would accept.
class Throttle {
 public:
  explicit Throttle(Duration window) : counters_(window) {}
  void record_refused(TimePoint now) { counters_.add(now, kAll); }
  void record_throttled(TimePoint now) { counters_.add(now, kAll); }
  void record_accepted(TimePoint now) {
    counters_.add(now, kAll);
    counters_.add(now, kAccepted);
  }
  double rejection_probability(TimePoint now) const;

 private:
  static constexpr auto kAll = SlidingCounters::kFirst, kAccepted = SlidingCounters::kSecond;
  SlidingCounters counters_;
};

}  // namespace firvalve::client
