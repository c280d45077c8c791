// Handles engines' reports on attempts: updates the state and passes samples to the mechanisms that learn
// from them.
#pragma once

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

struct State;

// Handles a status report of an attempt in flight. Ignores reports of attempts that are over.
void handle_attempt_status(State& state, TimePoint now, const AttemptStatus& event);
// Handles the end of an attempt.
void handle_attempt_finished(State& state, TimePoint now, const AttemptFinished& event);

}  // namespace firvalve
