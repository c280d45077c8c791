// The policy: decides which engine runs which command, when, and what is shed.
//
// It is a state machine without I/O, clocks or threads: its host makes the state with open(), gives it every
// event with handle(), and after the events of one moment asks once with decide() what to do. The same events
// at the same times give the same actions. A State belongs to one thread at a time; states share nothing.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"
#include "policy/state.h"

namespace firvalve {

// The state of a gateway that knows no engine yet. The seed fixes its random draws.
State open(const Settings& settings, uint64_t seed);

// Takes an event into the state. Times never go back from one call to the next.
void handle(State& state, TimePoint now, const Event& event);

// Decides on all commands in hand, and appends what is to be done about them.
void decide(State& state, TimePoint now, Actions& actions);

// Whether the attempt that kStartAttempt asked for may still start. The host asks right before it writes the
// start: connections come up late, and meanwhile the engine may have begun to drain, the client have gone or
// the window for retries have closed.
bool may_start_attempt(const State& state, const CommandId& command, TimePoint now);

}  // namespace firvalve
