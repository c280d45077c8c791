// Adaptive throttling at the client: it stops a part of its own calls while most of them are refused. No
// clock, no I/O, no random numbers of its own.
#pragma once

#include "base/time.h"
#include "client/sliding_counters.h"

namespace firvalve::client {

// Of all calls within the window, with `accepted` answered other than by a refusal, the chance of the next
// call to be stopped is (all - 2 accepted) / (all + 1), and none below ten calls. A stopped call counts among
// all, an answer when it comes. (The form is that of client-side throttling in Google's "Site Reliability
// Engineering", chapter 21.) It may stop a call that would have been accepted, in the first seconds after an
// overload ends.
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
