#include "results/lease_clock.h"

#include <fmt/format.h>

#include <cmath>
#include <cstdio>
#include <fstream>

#include "base/monotonic_clock.h"

namespace firvalve::results {

BootTime boot_time() {
  BootTime out;
  std::ifstream("/proc/sys/kernel/random/boot_id") >> out.boot_id;
  out.since_boot = boot_clock_ms();
  return out;
}

Ms lease_clock_offset(const std::string& folder, const BootTime& boot, Ms unix_now) {
  const std::string path = folder + "/clock";
  std::string held_id;
  Ms held_offset = 0;
  std::ifstream held(path);
  const bool is_read = static_cast<bool>(held >> held_id >> held_offset) && std::isfinite(held_offset);
  if (is_read && held_id == boot.boot_id) return held_offset;
  const Ms offset = unix_now - boot.since_boot;
  // Whole or not at all: a kill must not leave half a number.
  const std::string fresh = path + ".new";
  std::ofstream file(fresh, std::ios::trunc);
  file << fmt::format("{} {}\n", boot.boot_id, offset);
  file.close();
  if (!file || std::rename(fresh.c_str(), path.c_str()) != 0) std::remove(fresh.c_str());
  return offset;
}

}  // namespace firvalve::results
