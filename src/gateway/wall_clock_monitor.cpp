#include "gateway/wall_clock_monitor.h"

#include "base/monotonic_clock.h"

namespace firvalve {

using namespace std::chrono_literals;

namespace {
constexpr Duration kCheckInterval = 1000ms;
}

void WallClockMonitor::check(TimePoint now) {
  if (last_check_at_ && now < *last_check_at_ + kCheckInterval) return;
  last_check_at_ = now;
  const std::optional<Duration> step =
      detector_.find_step(MonotonicClock::now(), duration_of(wall_clock_ms()));
  if (!step) return;
  metrics_.add("wall clock steps");
  event_log_.log_wall_clock_step(*step);
}

}  // namespace firvalve
