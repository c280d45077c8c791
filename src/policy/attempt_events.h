// Handles engines' reports on attempts: updates the state and passes samples to the mechanisms that learn
// from them.
#pragma once

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

struct State;

void handle_attempt_status(State& state, TimePoint now, const AttemptStatus& event);
void handle_attempt_finished(State& state, TimePoint now, const AttemptFinished& event);

}  // namespace firvalve
