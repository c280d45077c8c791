// Types for durations and for time points of the two clocks that measure time spans.
//
// A duration is a double in milliseconds. A time point belongs to a clock: a MonotonicClock time point cannot
// be compared with, or subtracted from, a BootClock one. An absent time is an empty std::optional<TimePoint>,
// never a special value.
//
// Code that does not use these types yet passes times as plain `Ms` (units.h). Only to_ms(), duration_of()
// and time_point_of() convert between the two.
#pragma once

#include <chrono>
#include <optional>

#include "base/monotonic_clock.h"
#include "base/units.h"

namespace firvalve {

using Duration = std::chrono::duration<double, std::milli>;

// The clock for deadlines, windows, delays and ages within one process. Steady; starts at the Unix time of
// the process's first reading (monotonic_ms()). Safe to call from any thread.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now() { return time_point(duration(monotonic_ms())); }
};

// The clock for leases and consensus: time since the machine booted, including time suspended, so that a
// lease expires while the machine is suspended. Safe to call from any thread.
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

// The earlier of two optional times; nothing only if both are missing.
template <class Time>
constexpr std::optional<Time> earlier_of(std::optional<Time> one, std::optional<Time> other) {
  if (!one) return other;
  if (!other) return one;
  return *other < *one ? other : one;
}

}  // namespace firvalve
