#include "gateway/memory_monitor.h"

#include <iterator>

#include "base/process_memory.h"

namespace firvalve {

using namespace std::chrono_literals;

namespace {

constexpr Duration kCheckInterval = 250ms;
constexpr double kLoggedShares[] = {0.5, 0.75, 0.9};  // of the memory limit
constexpr size_t kBytesPerKilobyte = 1024;

}  // namespace

std::optional<MemoryUse> MemoryMonitor::read_use() const {
  const std::optional<ProcessMemory> memory = read_process_memory("self");
  if (!memory) return std::nullopt;
  MemoryUse use;
  use.resident_kb = memory->resident_bytes / kBytesPerKilobyte;
  use.peak_kb = memory->peak_bytes / kBytesPerKilobyte;
  use.limit_kb = static_cast<size_t>(limit_bytes_) / kBytesPerKilobyte;
  use.buffered_kb = sources_.loop.buffered_bytes() / kBytesPerKilobyte;
  use.commands_kb = sources_.core.pending_command_bytes() / kBytesPerKilobyte;
  use.commands = sources_.core.active_command_count();
  use.connections = sources_.loop.connection_count();
  return use;
}

void MemoryMonitor::check(TimePoint now) {
  if (last_check_at_ && now < *last_check_at_ + kCheckInterval) return;
  last_check_at_ = now;
  if (logged_shares_ == std::size(kLoggedShares)) return;
  const std::optional<MemoryUse> use = read_use();
  if (!use) return;
  const auto exceeds = [&](double share) {
    return static_cast<double>(use->peak_kb) > share * static_cast<double>(use->limit_kb);
  };
  if (!exceeds(kLoggedShares[logged_shares_])) return;
  while (logged_shares_ < std::size(kLoggedShares) && exceeds(kLoggedShares[logged_shares_]))
    ++logged_shares_;
  event_log_.log_memory_high(*use);
}

void MemoryMonitor::update_metrics() {
  const std::optional<MemoryUse> use = read_use();
  if (!use) return;
  metrics_.set("memory resident kB", use->resident_kb);
  metrics_.set("memory peak kB", use->peak_kb);
  metrics_.set("memory of buffers kB", use->buffered_kb);
  metrics_.set("memory of pending commands kB", use->commands_kb);
}

}  // namespace firvalve
