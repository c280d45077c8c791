// Constants that several parts of the request scheduler share.
#pragma once

#include "base/time.h"

namespace firvalve::client {

// Left before the deadline: with less, no answer comes back.
constexpr Duration kMinTimeToDeadline{2};

}  // namespace firvalve::client
