#include "core/command_event.h"

namespace firvalve {

std::string_view name_of(CommandEvent::Kind kind) {
  static constexpr std::string_view kNames[] = {"admitted",      "attempt started", "attempt cancelled",
                                                "attempt ended", "answered",        "shed",
                                                "failed",        "client gone"};
  return kNames[static_cast<size_t>(kind)];
}

std::string_view name_of(Outcome outcome) {
  static constexpr std::string_view kNames[] = {"ok",    "failed",    "full", "timed out", "connect failed",
                                                "reset", "cancelled", "moot", "spoilt"};
  return kNames[static_cast<size_t>(outcome)];
}

}  // namespace firvalve
