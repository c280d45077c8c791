// Applies updates of the endpoint list to the state.
#pragma once

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

struct State;

// Adds and updates the engines that the update lists. A complete list also removes all others.
void handle_engine_list(State& state, TimePoint now, const EngineListUpdate& event);

}  // namespace firvalve
