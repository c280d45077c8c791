// The one clock by which spans are measured: deadlines, windows, waits, graces, ages, leases.
//
// It goes by CLOCK_MONOTONIC, which nobody sets, and is counted from the Unix time at which this process
// first asked for it: its readings lie near Unix time (such as the starts of engines are told in), but a step
// of the wall clock does not move them. Where a time is shown to people, the wall clock itself is read.
#pragma once

#include <time.h>

#include <algorithm>
#include <chrono>

#include "base/units.h"

namespace firvalve {

// Ms since the Unix epoch, as the machine's wall clock has it now: for times that are shown, never for spans.
inline Ms wall_clock_ms() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(since).count();
}

// Ms since an unknown start. Never goes back.
inline Ms steady_clock_ms() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(since).count();
}

// Ms since this machine was started, sleep included (CLOCK_BOOTTIME).
inline Ms boot_clock_ms() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return static_cast<double>(time.tv_sec) * 1000 + static_cast<double>(time.tv_nsec) / 1e6;
}

// Ms since the Unix epoch, as the wall clock had it when this process first asked, and steady from there on.
// The same for all threads and loops of the process. Above 0, which stands for "no time" elsewhere.
inline Ms monotonic_ms() {
  constexpr Ms kMinStart = 1000;  // a machine whose wall clock was never set
  static const Ms offset = std::max(wall_clock_ms(), kMinStart) - steady_clock_ms();
  return steady_clock_ms() + offset;
}

}  // namespace firvalve
