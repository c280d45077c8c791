// Adds, updates and removes engines as the endpoint list says, and starts the slow start of restarted ones.
#include "policy/engine_list.h"

#include <algorithm>

#include "policy/setting_keys.h"
#include "policy/state.h"

namespace firvalve {
namespace {

void mark_unlisted_as_removed(State& state, const EngineListUpdate& event) {
  std::vector<EngineId> listed;
  for (const EngineInfo& info : event.engines) listed.push_back(info.engine);
  std::sort(listed.begin(), listed.end());
  for (Engine& engine : state.engines)
    if (!std::binary_search(listed.begin(), listed.end(), engine.id)) engine.state = EngineState::kRemoved;
}

void copy_placement(State& state, Engine& engine, const EngineInfo& info) {
  engine.zone = info.zone;
  engine.zone_index = find_or_add_index(state.zones, info.zone);
  engine.machine_type = info.machine_type;
  engine.machine_type_index = find_or_add_index(state.machine_types, info.machine_type);
  state.concurrency.groups.resize(2 * state.machine_types.size());
  engine.cell = info.cell;
  engine.cores = number_setting(state.settings, setting::kCoresPrefix + info.machine_type, 1);
  if (engine.concurrency.limit == 0) engine.concurrency.limit = initial_limit(state, engine);
}

// An engine that started less than a warm-up ago is cold, whether it is new or came back.
void start_slow_start_if_restarted(State& state, Engine& engine, TimePoint started_at, TimePoint now) {
  const std::optional<TimePoint>& known_start = engine.slow_start.started_at;
  if (now - started_at >= state.options.slow_start.warm_up || (known_start && *known_start >= started_at))
    return;
  start_slow_start(state, engine, started_at);
  // Outcomes of the engine's earlier incarnation do not apply to the new one.
  engine.outlier.attempts = engine.outlier.failures = 0;
  engine.outlier.is_unresponsive = false;
}

}  // namespace

void handle_engine_list(State& state, TimePoint now, const EngineListUpdate& event) {
  if (event.is_complete) mark_unlisted_as_removed(state, event);
  for (const EngineInfo& info : event.engines) {
    Engine& engine = find_or_add_engine(state, info.engine);
    copy_placement(state, engine, info);
    const bool is_joining = engine.state == EngineState::kRemoved && info.state == EngineState::kReady;
    engine.state = info.state;
    if (info.started_at && info.started_at != engine.started_at)
      start_slow_start_if_restarted(state, engine, start_time_of(*info.started_at, event.current_at, now),
                                    now);
    engine.started_at = info.started_at;
    if (is_joining) engine.outlier.last_response_at = now;
  }
  erase_removed_engines(state);
}

}  // namespace firvalve
