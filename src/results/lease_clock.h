// The time in which leases are written to disk. It has to go on over restarts of the program, and a step of
// the wall clock between two of them must neither end a lease nor lengthen it: so it goes by the machine's
// time since boot, and the folder keeps by how much that differs from Unix time (file `clock`, one line
// `BOOT-ID OFFSET-MS`). After a boot there is nothing but the wall clock to go by.
#pragma once

#include <string>

#include "base/units.h"

namespace firvalve::results {

// The machine's own count of time: Linux' CLOCK_BOOTTIME, and what tells one boot from the next.
struct BootTime {
  std::string boot_id;  // empty: not to be had
  Ms since_boot = 0;
};
BootTime boot_time();

// By how much Unix time lies past the time since boot, as the folder holds it for this boot, or else as
// `unix_now` says; the folder then holds that. A file that cannot be read is made anew; one that cannot be
// written leaves the offset good for this run alone.
Ms lease_clock_offset(const std::string& folder, const BootTime& boot, Ms unix_now);

}  // namespace firvalve::results
