// Names of command events and attempt outcomes, as the log and the metrics write them.
#include "core/command_event.h"

namespace firvalve {

std::string_view name_of(CommandEvent::Kind kind) {
  static constexpr std::string_view kNames[] = {"command.admitted", "attempt.started",    "attempt.cancelled",
                                                "attempt.finished", "command.answered",   "command.shed",
                                                "command.failed",   "command.client_gone"};
  return kNames[static_cast<size_t>(kind)];
}

std::string_view name_of(Outcome outcome) {
  static constexpr std::string_view kNames[] = {"ok",
                                                "failed",
                                                "queue full",
                                                "timed out",
                                                "connect failed",
                                                "reset",
                                                "cancelled",
                                                "cancelled before start",
                                                "indeterminate"};
  return kNames[static_cast<size_t>(outcome)];
}

}  // namespace firvalve
