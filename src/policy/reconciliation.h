// Reconciliation: turns the difference between the desired and the current state into actions. Makes no
// decisions.
#pragma once

#include "base/time.h"
#include "policy/actions.h"

namespace firvalve {

struct State;

void append_actions(State& state, TimePoint now, Actions& actions);

}  // namespace firvalve
