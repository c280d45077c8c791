// What happens to commands and their attempts, in the order in which it happens: for the log of single
// commands. No decision depends on it.
#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "policy/actions.h"

namespace firvalve {

// The views are good for the call alone.
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
  std::string_view engine = {};           // of an attempt, by its listed name
  int attempts = 0;                       // started so far; the last of them is the one meant
  Reason reason = Reason::kNone;          // of kAttemptCancelled, kShed, kFailed
  Outcome outcome = Outcome::kOk;         // of kAttemptFinished
  std::optional<Duration> duration = {};  // of kAttemptFinished: since its start
};
using CommandObserver = std::function<void(TimePoint now, const CommandEvent& event)>;

std::string_view name_of(CommandEvent::Kind kind);
std::string_view name_of(Outcome outcome);

}  // namespace firvalve
