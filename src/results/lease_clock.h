// The clock of the lease expiries that are stored on disk. It continues across restarts of the process, and a
// step of the wall clock between two runs neither shortens nor extends a lease. It is therefore derived from
// the time since boot plus an offset to Unix time, which is stored in the folder (file `clock`, one line
// `BOOT-ID OFFSET-MS`). After a reboot the offset is set anew from the wall clock.
#pragma once

#include <string>

#include "base/time.h"

namespace firvalve::results {

// A clock without now(): its times are computed from another clock's by adding an offset.
struct LeaseClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<LeaseClock, duration>;
  static constexpr bool is_steady = true;
};
using LeaseTime = LeaseClock::time_point;

// `offset`: how far the lease clock is ahead of the clock of TimePoint.
constexpr LeaseTime to_lease_time(TimePoint time, Duration offset) {
  return LeaseTime(time.time_since_epoch() + offset);
}
constexpr TimePoint from_lease_time(LeaseTime time, Duration offset) {
  return TimePoint(time.time_since_epoch() - offset);
}

// The time since boot, and an id that differs between boots.
struct BootTime {
  std::string boot_id;  // empty if not available
  BootClock::time_point now;
};
BootTime read_boot_time();

// Returns how far the lease clock is ahead of the time since boot. Uses the offset stored in the folder for
// this boot. If there is none, computes it so that the lease clock starts at `unix_now`, and stores it in the
// folder. An unreadable file is replaced; if it cannot be written, the offset is valid for this run only.
Duration load_or_create_lease_clock_offset(const std::string& folder, const BootTime& boot,
                                           TimePoint unix_now);

}  // namespace firvalve::results
