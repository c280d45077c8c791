// What happens to commands and their attempts, told in the order in which it happens: for the log of single
// commands. Nothing is decided from it.
#pragma once

#include <functional>
#include <string_view>

#include "base/units.h"
#include "policy/actions.h"

namespace firvalve {

// The views are good for the call alone.
struct CommandEvent {
  enum class Kind {
    kAdmitted,
    kAttemptStarted,
    kAttemptCancelled,
    kAttemptEnded,
    kAnswered,
    kShed,
    kFailed,
    kClientGone
  };
  Kind kind = Kind::kAdmitted;
  std::string_view command, profile;
  std::string_view engine = {};    // of an attempt, by its listed name
  int attempt = 0;                 // from 1; 0: none was made
  Reason reason = Reason::kNone;   // of kAttemptCancelled, kShed, kFailed
  Outcome outcome = Outcome::kOk;  // of kAttemptEnded
  Ms took = 0;                     // of kAttemptEnded: since its start
};
using CommandObserver = std::function<void(Ms now, const CommandEvent& event)>;

std::string_view name_of(CommandEvent::Kind kind);
std::string_view name_of(Outcome outcome);

}  // namespace firvalve
