// How a call ended.
#pragma once

#include <string_view>

namespace firvalve::client {

// Each call ends with exactly one of these.
enum class Outcome {
  kAnswered,  // all rows have arrived
  kRefused,   // it never ran, so a later retry is safe
  kFailed,    // the gateway reported a failure; the command may have had effects
  kUnknown,   // it may have run, but the answer is lost
  kExpired,   // deadline passed or cancelled; it is replayable, or cannot have run
};
std::string_view name_of(Outcome outcome);

}  // namespace firvalve::client
