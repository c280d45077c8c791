// The times of a planned restart that the protocol specifies, counted from SIGTERM.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace firvalve::proto {

// Clients open new connections for at most 400 ms and send requests on them for another 200 ms; the rest
// allows for network delay.
constexpr Duration kLateRequestWindow = std::chrono::milliseconds(700);

// SIGKILL follows kKillSlack after the longest client timeout, which counts as at most kKillTimeoutCap.
constexpr Duration kKillTimeoutCap = std::chrono::milliseconds(3000);
constexpr Duration kKillSlack = std::chrono::milliseconds(700);

// Time reserved before SIGKILL for delivering the last answers.
constexpr Duration kAnswerSlack = std::chrono::milliseconds(400);

// The time within which all accepted calls must be answered.
inline Duration max_answer_time(Duration longest_client_timeout) {
  return std::min(longest_client_timeout, kKillTimeoutCap) + kKillSlack - kAnswerSlack;
}

// The time within which the process exits, even if connections are still open: it does not wait for clients
// that do not read.
inline Duration max_exit_time(Duration longest_client_timeout) {
  return std::max(kLateRequestWindow, max_answer_time(longest_client_timeout) + kAnswerSlack / 2);
}

}  // namespace firvalve::proto
