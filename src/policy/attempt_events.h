// Takes what engines report on attempts into the state, and has the mechanisms learn from it.
#pragma once

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

struct State;

void handle_attempt_status(State& state, TimePoint now, const AttemptStatus& event);
void handle_attempt_finished(State& state, TimePoint now, const AttemptFinished& event);

}  // namespace firvalve
