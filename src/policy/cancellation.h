// Cancellation: cancels an attempt in flight when a retry on another engine is likely to do better, because
// the engine is unresponsive, the attempt is blocked, or its plan is bad, that is, it runs far longer than
// predicted.
//
// An attempt is cancelled only if the command may run again, its client still waits and the retry budget
// allows the retry.
#pragma once

#include "base/time.h"

namespace firvalve {

struct State;

// Decides which attempts in flight are cancelled.
void review_attempts(State& state, TimePoint now);

}  // namespace firvalve
