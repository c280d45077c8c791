// How a call ended.
#pragma once

#include <string_view>

namespace firvalve::client {

// Exactly one of them comes for each call.
enum class Outcome {
  kAnswered,  // all rows are here
  kRefused,   // it never ran; the same call is harmless later
  kFailed,    // a gateway said that it failed; a command that changes something may have done so
  kUnknown,   // it may have run, and its answer is lost
  kExpired,   // its deadline passed, or it was cancelled; nothing that may run only once was in flight
};
std::string_view name_of(Outcome outcome);

}  // namespace firvalve::client
