// Slow start: warms up an engine that has started, or that responds again after a long silence. Its caches
// are cold, and more than a multiple of its cold capacity within a short window overloads it.
//
// While the engine warms up it has a budget of work, which rises linearly from an initial share of its
// capacity. All gateways together may use the budget, and each takes its share over any window. Where that
// share is less than one command, small commands are sent as seldom as the share pays for them, and large
// ones in scheduled turns that all gateways derive from the engine's start, without talking to each other.
#pragma once

#include <optional>
#include <vector>

#include "base/time.h"

namespace firvalve {

struct Engine;
struct State;

// Settings of slow start.
struct SlowStartOptions {
  Duration warm_up{};        // time from its start until an engine is warm
  double initial_share = 0;  // share of its capacity that an engine has right after its start
  // Within this window an engine must not receive more than overload_multiple times its capacity.
  Duration overload_window{};
  double overload_multiple = 0;
};

// Predicted work sent to a warming engine, and when.
struct SentWork {
  TimePoint at{};
  Duration work{};
};

// Slow start of one engine.
struct EngineSlowStart {
  std::optional<TimePoint> started_at;  // empty if it is warm
  double first_turn_phase = 0;          // 0 to 1: when in its interval the first small command is sent
  std::vector<SentWork> sent;           // by this gateway during the warm-up
};

// kScheduledTurn: a large command may be sent now because it is this gateway's turn.
enum class SlowStartAdmission { kDenied, kAllowed, kScheduledTurn };

// Starts the warm-up of an engine as of `started_at`.
void start_slow_start(State& state, Engine& engine, TimePoint started_at);

// Returns when an engine with this listed start time has started, by this gateway's clock. `current_at` is
// when the list was last known to be current.
TimePoint start_time_of(TimePoint started_at, std::optional<TimePoint> current_at, TimePoint now);

// Returns the share of its capacity that an engine has now: 1 once it is warm.
double warm_share(const State& state, const Engine& engine, TimePoint now);

// Decides whether an engine may be sent this much work now.
SlowStartAdmission slow_start_admission(const State& state, Engine& engine, Duration work, TimePoint now);

// Records work sent to an engine that is warming up.
void record_slow_start_work(Engine& engine, Duration work, TimePoint now);

}  // namespace firvalve
