// Watches the memory of this process and what it is used for. A process that is killed for its memory writes
// no metrics, so each share of the limit is logged when the process first exceeds it.
#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "gateway/event_log.h"

namespace firvalve {

class MemoryMonitor {
 public:
  // What the memory is used for, as far as it is counted.
  struct Sources {
    const net::Loop& loop;
    const Core& core;
  };
  // All references must outlive this object.
  MemoryMonitor(EventLog& event_log, Metrics& metrics, Sources sources, double limit_bytes)
      : event_log_(event_log), metrics_(metrics), sources_(sources), limit_bytes_(limit_bytes) {}

  void check(TimePoint now);  // to be called at each turn of the loop
  void update_metrics();      // sets the gauges of the present memory use

 private:
  std::optional<MemoryUse> read_use() const;

  EventLog& event_log_;
  Metrics& metrics_;
  const Sources sources_;
  const double limit_bytes_;
  size_t logged_shares_ = 0;  // how many of the shares were logged already
  std::optional<TimePoint> last_check_at_;
};

}  // namespace firvalve
