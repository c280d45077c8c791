// An engine as this gateway knows it: its entry in the endpoint list, this gateway's attempts on it and the
// per-engine state of each mechanism.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "policy/concurrency_limit.h"
#include "policy/events.h"
#include "policy/outlier_detection.h"
#include "policy/slow_start.h"

namespace firvalve {

// Totals over this gateway's attempts in flight on an engine.
struct InFlightTotals {
  int attempts = 0;
  int threads = 0;
  int short_threads = 0;  // of short commands (is_short())
  Duration work{};        // predicted thread-time
};

struct Engine {
  // From the endpoint list:
  EngineId id{};
  std::string zone, machine_type;
  size_t zone_index = 0, machine_type_index = 0;  // indices in State::zones and State::machine_types
  int cell = 0;
  EngineState state = EngineState::kRemoved;
  std::optional<TimePoint> started_at;
  double cores = 0;
  // Maintained by this gateway:
  bool is_in_pool = false;  // in the pool for heavy commands (engine_pool.h)
  size_t group_index = 0;   // index in ConcurrencyState::groups
  InFlightTotals in_flight;
  EngineOutlier outlier;
  EngineConcurrency concurrency;
  EngineBackoff backoff;
  EngineSlowStart slow_start;
  // A reserved engine is kept free for commands restricted to its machine type (admission_queue.h).
  // `is_reserved` covers the current and the previous queue review, `is_reserved_this_review` only the
  // current one.
  bool is_reserved = false, is_reserved_this_review = false;
  // Table groups of commands that finished here, which the engine has cached.
  std::array<std::optional<int64_t>, 4> recent_table_groups;
};

}  // namespace firvalve
