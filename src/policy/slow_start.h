// Slow start: an engine that started, or came back after a long silence, warms up. Its caches are cold, and
// more than a multiple of its cold capacity within a short window makes it fall over.
//
// While it warms up it gets a budget of work, which rises evenly from an initial share of its capacity. The
// budget is for all gateways together, and each takes its share over any window. Where that share is less
// than one command, small commands come as seldom as the share pays for them, and large ones by scheduled
// turns that all gateways derive from the engine's start, so that they need not talk to each other.
#pragma once

#include <optional>
#include <vector>

#include "base/time.h"

namespace firvalve {

struct Engine;
struct State;

struct SlowStartOptions {
  Duration warm_up{};          // how long an engine takes to be warm
  double initial_share = 0;    // of its capacity that a cold engine has
  Duration overload_window{};  // over which an engine must not get more than so many times its capacity
  double overload_multiple = 0;
};

struct SentWork {
  TimePoint at{};
  Duration work{};
};

struct EngineSlowStart {
  std::optional<TimePoint> started_at;  // none: it is warm
  double first_turn_phase = 0;          // 0 to 1: where in its interval the first small command is sent
  std::vector<SentWork> sent;           // by this gateway, while it warms up
};

// kScheduledTurn: a large command may go there now, as this gateway's turn.
enum class SlowStartAdmission { kDenied, kAllowed, kScheduledTurn };

// An engine warms up from that time on.
void start_slow_start(State& state, Engine& engine, TimePoint started_at);

// When an engine that the list says to have started did so, on this gateway's clock. `current_at`: the list
// was known to be current then.
TimePoint start_time_of(TimePoint started_at, std::optional<TimePoint> current_at, TimePoint now);

// The share of its capacity that an engine has by now: 1 once it is warm.
double warm_share(const State& state, const Engine& engine, TimePoint now);

// Whether an engine may be sent so much work now.
SlowStartAdmission slow_start_admission(const State& state, Engine& engine, Duration work, TimePoint now);

// Counts work that is sent to an engine that warms up.
void note_slow_start_work(Engine& engine, Duration work, TimePoint now);

}  // namespace firvalve
