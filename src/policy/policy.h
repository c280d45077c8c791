// The policy: decides which engine runs which command, when, and which commands are shed.
//
// The policy is a state machine without I/O, clocks or threads. The host creates a state with open(), passes
// every event to handle(), and calls decide() once after the events of one moment. The same events at the
// same times give the same actions. A State may be used by one thread at a time; different states share
// nothing.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"
#include "policy/state.h"

namespace firvalve {

// Creates the state of a gateway that knows no engine yet. `seed` determines its random draws.
State open(const Settings& settings, uint64_t seed);

// Applies an event to the state. `now` must not decrease from one call to the next.
void handle(State& state, TimePoint now, const Event& event);

// Decides about all active commands and appends the actions to perform.
void decide(State& state, TimePoint now, Actions& actions);

// Whether the attempt requested by kStartAttempt may still start. The host asks right before it writes the
// start: establishing a connection takes time, and meanwhile the engine may have started to drain, the client
// may have left or the deduplication window may have closed.
bool may_start_attempt(const State& state, const CommandId& command, TimePoint now);

}  // namespace firvalve
