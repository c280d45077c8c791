// What the protocol states of a planned restart, counted from SIGTERM.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace firvalve::proto {

// New connections come for at most 400 ms, requests on them for 200 ms more; the rest is for the network.
constexpr Duration kLateRequestWindow = std::chrono::milliseconds(700);

// SIGKILL comes this long after the longest client timeout, of which at most kKillTimeoutCap counts.
constexpr Duration kKillTimeoutCap = std::chrono::milliseconds(3000);
constexpr Duration kKillSlack = std::chrono::milliseconds(700);

// Before the SIGKILL: the last answers are on their way.
constexpr Duration kAnswerSlack = std::chrono::milliseconds(400);

// Within it everything taken in has its answer.
inline Duration max_answer_time(Duration longest_client_timeout) {
  return std::min(longest_client_timeout, kKillTimeoutCap) + kKillSlack - kAnswerSlack;
}

// Within it the process ends, whatever is still open then: a client that does not read is not waited for.
inline Duration max_exit_time(Duration longest_client_timeout) {
  return std::max(kLateRequestWindow, max_answer_time(longest_client_timeout) + kAnswerSlack / 2);
}

}  // namespace firvalve::proto
