// Reconciliation: turns the difference between desired and present state into actions. Nothing is decided
// here.
#pragma once

#include "base/time.h"
#include "policy/actions.h"

namespace firvalve {

struct State;

void append_actions(State& state, TimePoint now, Actions& actions);

}  // namespace firvalve
