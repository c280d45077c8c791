// Lifecycle events of commands and attempts, in order of occurrence, for the per-command log. No decision
// depends on them.
#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "policy/actions.h"

namespace firvalve {

// The views are valid only during the observer call.
struct CommandEvent {
  enum class Kind {
    kAdmitted,
    kAttemptStarted,
    kAttemptCancelled,
    kAttemptFinished,
    kAnswered,
    kShed,
    kFailed,
    kClientGone
  };
  Kind kind = Kind::kAdmitted;
  std::string_view command = {}, profile = {};
  std::string_view engine = {};           // listed name of the attempt's engine
  int attempts = 0;                       // started so far; the event refers to the last one
  Reason reason = Reason::kNone;          // for kAttemptCancelled, kShed, kFailed
  Outcome outcome = Outcome::kOk;         // for kAttemptFinished
  std::optional<Duration> duration = {};  // for kAttemptFinished: time since its start
};
using CommandObserver = std::function<void(TimePoint now, const CommandEvent& event)>;

std::string_view name_of(CommandEvent::Kind kind);
std::string_view name_of(Outcome outcome);

}  // namespace firvalve
