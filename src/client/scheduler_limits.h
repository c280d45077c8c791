// Constants shared by the source files of the request scheduler.
#pragma once

#include "base/time.h"

namespace firvalve::client {

// Minimum time left for sending an attempt; with less, no answer can arrive before the deadline.
constexpr Duration kMinTimeToDeadline{2};

}  // namespace firvalve::client
