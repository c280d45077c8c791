// An engine as this gateway knows it: what the endpoint list says, what this gateway runs there, and the
// state that each mechanism keeps for it.
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

// This gateway's own attempts in flight on an engine.
struct EngineLoad {
  int attempts = 0;
  int threads = 0;
  int short_threads = 0;  // of short commands (is_short())
  Duration work{};        // predicted, all threads together
};

struct Engine {
  // From the endpoint list:
  EngineId id{};
  std::string zone, machine_type;
  size_t zone_index = 0, machine_type_index = 0;  // in State::zones and State::machine_types
  int cell = 0;
  EngineState state = EngineState::kRemoved;
  std::optional<TimePoint> started_at;
  double cores = 0;
  // Of this gateway:
  bool is_in_pool = false;  // the pool for heavy commands (engine_pool.h)
  size_t group = 0;         // in ConcurrencyState::groups
  EngineLoad in_flight;
  EngineOutlier outlier;
  EngineConcurrency concurrency;
  EngineBackoff backoff;
  EngineSlowStart slow_start;
  // Reserved for commands that are bound to its machine type (admission_queue.h): in this review or the last,
  // and in this one.
  bool is_reserved = false, is_reserved_now = false;
  std::array<std::optional<int64_t>, 4> recent_table_groups;  // of commands that ended there: cached by it
};

}  // namespace firvalve
