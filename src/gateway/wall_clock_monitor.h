// Checks once a second whether the wall clock was stepped, and logs and counts each step.
#pragma once

#include <optional>

#include "base/time.h"
#include "gateway/event_log.h"
#include "net/clock_step_detector.h"

namespace firvalve {

class WallClockMonitor {
 public:
  // Both arguments must outlive this object.
  WallClockMonitor(EventLog& event_log, Metrics& metrics) : event_log_(event_log), metrics_(metrics) {}
  void check(TimePoint now);  // to be called at each turn of the loop

 private:
  EventLog& event_log_;
  Metrics& metrics_;
  net::ClockStepDetector detector_;
  std::optional<TimePoint> last_check_at_;
};

}  // namespace firvalve
