// The clock of lease expiries that are stored on disk. It has to go on over restarts of the program, and a
// step of the wall clock between two of them must neither end a lease nor lengthen it. So it follows the
// machine's time since boot, and the folder stores by how much that differs from Unix time (file `clock`, one
// line `BOOT-ID OFFSET-MS`). After a boot there is only the wall clock to go by.
#pragma once

#include <string>

#include "base/time.h"

namespace firvalve::results {

// A clock without now(): its times are made from another clock's by adding an offset.
struct LeaseClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<LeaseClock, duration>;
  static constexpr bool is_steady = true;
};
using LeaseTime = LeaseClock::time_point;

// `offset`: by how much the lease clock is ahead of the monotonic clock.
constexpr LeaseTime to_lease_time(TimePoint time, Duration offset) {
  return LeaseTime(time.time_since_epoch() + offset);
}
constexpr TimePoint from_lease_time(LeaseTime time, Duration offset) {
  return TimePoint(time.time_since_epoch() - offset);
}

// The machine's own count of time, and what tells one boot from the next.
struct BootTime {
  std::string boot_id;  // empty: not available
  BootClock::time_point now;
};
BootTime read_boot_time();

// By how much the lease clock is ahead of the time since boot: as the folder has it for this boot, or else
// such that the lease clock starts at `unix_now`, which is then stored in the folder. A file that cannot be
// read is replaced; if it cannot be written, the offset holds for this run only.
Duration load_or_create_lease_clock_offset(const std::string& folder, const BootTime& boot,
                                           TimePoint unix_now);

}  // namespace firvalve::results
