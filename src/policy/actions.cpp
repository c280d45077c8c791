// Texts of reasons and engine health for logs, metrics and the simulator.
#include "policy/actions.h"

namespace firvalve {

std::string_view name_of(Reason reason) {
  static constexpr std::string_view kNames[] = {"none",
                                                "engine unresponsive",
                                                "blocked",
                                                "no progress",
                                                "bad plan",
                                                "client gone",
                                                "deadline too close",
                                                "deadline exceeded",
                                                "attempts exhausted",
                                                "unsafe to retry",
                                                "pool overloaded",
                                                "unknown profile"};
  return kNames[static_cast<size_t>(reason)];
}

// The simulator's protocol fixes these texts byte for byte, whatever the enumerators are called.
std::string engine_health_text(EngineId engine, EngineHealth health) {
  std::string text = "engine " + std::to_string(to_number(engine));
  switch (health) {
    case EngineHealth::kReinstated:
      text += ": trusted again";
      break;
    case EngineHealth::kUnresponsive:
      text += ": silent";
      break;
    case EngineHealth::kFailingOrSlow:
      text += ": failing or slow";
      break;
  }
  return text;
}

}  // namespace firvalve
