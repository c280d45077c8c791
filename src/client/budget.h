// What a client may send beyond its first tries, and when it stops sending by itself. Counts by slots of a
// sliding window; no clock, no I/O, bounded memory.
#pragma once

#include <array>
#include <cstdint>

#include "base/units.h"

namespace firvalve::client {

// Two counts over the last `window` ms, in slots of a 32nd of it. The slot that has only partly left the
// window is told apart, so that a bound can be taken from the safe side.
class SlidingCounts {
 public:
  explicit SlidingCounts(Ms window) : slot_(window / kSlots) {}
  void add(Ms now, int what, uint64_t count = 1);  // what: 0 or 1
  uint64_t within(Ms now, int what) const;         // at most what the window holds
  uint64_t touching(Ms now, int what) const;       // at least what the window holds

 private:
  static constexpr int64_t kSlots = 32;
  struct Slot {
    int64_t number = -1;
    std::array<uint64_t, 2> count{};
  };
  int64_t number_of(Ms now) const;
  uint64_t sum(Ms now, int what, int64_t slots) const;

  Ms slot_;
  std::array<Slot, kSlots + 1> slots_{};
};

// Repeats as a share of first tries. In the window that ends with any repeat, repeats are at most
// share x first tries + `rounding`, where `rounding` in [0, 1) is drawn by the client, anew each window: so
// one client with few calls may repeat now and then, and a hundred such clients together add `share` in the
// mean. Guards against the flood that retries make of an outage; it may cost a lone client the one repeat
// that would have helped.
class RetryBudget {
 public:
  RetryBudget(double share, Ms window) : share_(share), window_(window), counts_(window) {}

  void first(Ms now) { counts_.add(now, kFirst); }
  void repeat(Ms now) { counts_.add(now, kRepeat); }
  // Whether one more, beside those `reserved`, keeps the bound.
  bool may_repeat(Ms now, uint64_t reserved = 0) const;
  bool wants_draw(Ms now) const { return now >= drawn_until_; }
  void draw(Ms now, double rounding) {
    rounding_ = rounding;
    drawn_until_ = now + window_;
  }

 private:
  static constexpr int kFirst = 0, kRepeat = 1;
  double share_, rounding_ = 0;
  Ms window_, drawn_until_ = 0;
  SlidingCounts counts_;
};

// Stops a part of the calls at their own side while most of what was sent came back refused: of all calls
// within the window, with a answered otherwise, the chance to be stopped is (all - 2a) / (all + 1), and none
// below ten calls. Calls stopped here count among all, answers count when they come. (The form is that of
// client-side throttling in Google's "Site Reliability Engineering", chapter 21.) It may stop a call that
// would have been taken, in the first seconds after an overload ends.
class Throttle {
 public:
  explicit Throttle(Ms window) : counts_(window) {}
  void refused(Ms now) { counts_.add(now, kAll); }
  void stopped(Ms now) { counts_.add(now, kAll); }
  void taken(Ms now) {
    counts_.add(now, kAll);
    counts_.add(now, kTaken);
  }
  double stop_chance(Ms now) const;

 private:
  static constexpr int kAll = 0, kTaken = 1;
  SlidingCounts counts_;
};

}  // namespace firvalve::client
