// Time as a type: durations, and time points of the two clocks that the program measures spans by.
//
// Every duration is in milliseconds with fractions, so that arithmetic on it is that of a double. A time
// point belongs to a clock: one of MonotonicClock cannot be compared with, or subtracted from, one of
// BootClock. "No such time" is std::optional<TimePoint>, never a value that stands for it.
//
// Code that does not use these types yet passes times as plain `Ms` (units.h); to_ms(), duration_of() and
// time_point_of() are the only ways between the two.
#pragma once

#include <chrono>
#include <optional>

#include "base/monotonic_clock.h"
#include "base/units.h"

namespace firvalve {

using Duration = std::chrono::duration<double, std::milli>;

// The clock of deadlines, windows, waits and ages within one process. Steady, counted from the Unix time at
// which the process first asked for it (monotonic_ms()). Safe to call from any thread.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now() { return time_point(duration(monotonic_ms())); }
};

// The clock of leases and agreement: time since the machine was started, sleep included, so that a lease runs
// out while a machine is suspended. Safe to call from any thread.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now() { return time_point(duration(boot_clock_ms())); }
};

using TimePoint = MonotonicClock::time_point;

constexpr Ms to_ms(Duration duration) { return duration.count(); }
template <class Clock>
constexpr Ms to_ms(std::chrono::time_point<Clock, Duration> time) {
  return time.time_since_epoch().count();
}

constexpr Duration duration_of(Ms ms) { return Duration(ms); }
template <class Clock = MonotonicClock>
constexpr std::chrono::time_point<Clock, Duration> time_point_of(Ms ms) {
  return std::chrono::time_point<Clock, Duration>(Duration(ms));
}

// The earlier of two times, where either may be missing: the missing one never wins.
template <class Time>
constexpr std::optional<Time> earlier_of(std::optional<Time> one, std::optional<Time> other) {
  if (!one) return other;
  if (!other) return one;
  return *other < *one ? other : one;
}

}  // namespace firvalve
