#include "results/lease_clock.h"

#include <fmt/format.h>

#include <cmath>
#include <cstdio>
#include <fstream>

namespace firvalve::results {

BootTime read_boot_time() {
  BootTime boot;
  std::ifstream("/proc/sys/kernel/random/boot_id") >> boot.boot_id;
  boot.now = BootClock::now();
  return boot;
}

Duration load_or_create_lease_clock_offset(const std::string& folder, const BootTime& boot,
                                           TimePoint unix_now) {
  const std::string path = folder + "/clock";
  std::string stored_boot_id;
  Ms stored_offset = 0;
  std::ifstream stored(path);
  const bool is_readable =
      static_cast<bool>(stored >> stored_boot_id >> stored_offset) && std::isfinite(stored_offset);
  if (is_readable && stored_boot_id == boot.boot_id) return duration_of(stored_offset);
  const Duration offset = unix_now.time_since_epoch() - boot.now.time_since_epoch();
  // Replaced atomically by a rename: a killed process must not leave a partially written number.
  const std::string new_path = path + ".new";
  std::ofstream file(new_path, std::ios::trunc);
  file << fmt::format("{} {}\n", boot.boot_id, to_ms(offset));
  file.close();
  if (!file || std::rename(new_path.c_str(), path.c_str()) != 0) std::remove(new_path.c_str());
  return offset;
}

}  // namespace firvalve::results
