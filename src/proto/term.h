// What the protocol says of a planned restart, counted from SIGTERM.
#pragma once

#include <algorithm>

#include "base/units.h"

namespace firvalve::proto {

constexpr Ms kComingOn = 700;  // connections come for 400 at most, requests on them for 200 more; and the way
constexpr Ms kKillWaitMost = 3000, kKillSlack = 700;  // SIGKILL: after the longest client timeout, and this
constexpr Ms kAnswerSlack = 400;                      // before that: the last answers on their way

inline Ms answers_end(Ms longest_timeout) {
  return std::min(longest_timeout, kKillWaitMost) + kKillSlack - kAnswerSlack;
}

// What has not been had by then is not waited for, as of a client that does not read.
inline Ms leaving_end(Ms longest_timeout) {
  return std::max(kComingOn, answers_end(longest_timeout) + kAnswerSlack / 2);
}

}  // namespace firvalve::proto
