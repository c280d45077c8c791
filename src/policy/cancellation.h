// Cancellation: an attempt in flight is cancelled so that a retry elsewhere may do better, where its engine
// went silent, where it is blocked, or where its plan is bad, that is, where it runs far longer than
// predicted.
//
// Only what may run again is cancelled, while its client waits and the retry budget allows the retry.
#pragma once

#include "base/time.h"

namespace firvalve {

struct State;

// Decides which attempts in flight are cancelled.
void review_attempts(State& state, TimePoint now);

}  // namespace firvalve
