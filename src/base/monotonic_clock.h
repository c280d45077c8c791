// The clocks behind base/time.h, read as plain milliseconds.
//
// Time spans (deadlines, windows, delays, grace periods, ages) are measured with monotonic_ms(). It advances
// with CLOCK_MONOTONIC and starts at the Unix time of the process's first call. Its readings are therefore
// close to Unix time, in which engines report their start times, but a step of the wall clock does not change
// them. Leases use boot_clock_ms(). Times shown to people come from the wall clock.
#pragma once

#include <time.h>

#include <algorithm>
#include <chrono>

#include "base/units.h"

namespace firvalve {

// Ms since the Unix epoch by the wall clock. Only for display; never for measuring spans.
inline Ms wall_clock_ms() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(since).count();
}

// Ms since an arbitrary start. Never decreases.
inline Ms steady_clock_ms() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(since).count();
}

// Ms since this machine booted, including time suspended (CLOCK_BOOTTIME).
inline Ms boot_clock_ms() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return static_cast<double>(time.tv_sec) * 1000 + static_cast<double>(time.tv_nsec) / 1e6;
}

// The wall clock's ms since the Unix epoch at the process's first call, and steady from there on. The same
// for all threads of the process. Always above 0, which means "no time" elsewhere.
inline Ms monotonic_ms() {
  constexpr Ms kMinStart = 1000;  // for a machine whose wall clock was never set
  static const Ms offset = std::max(wall_clock_ms(), kMinStart) - steady_clock_ms();
  return steady_clock_ms() + offset;
}

}  // namespace firvalve
