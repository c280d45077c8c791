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

std::string engine_health_text(EngineId engine, EngineHealth health) {
  std::string text = "engine " + std::to_string(to_number(engine));
  switch (health) {
    case EngineHealth::kReinstated:
      text += ": reinstated";
      break;
    case EngineHealth::kUnresponsive:
      text += ": ejected: unresponsive";
      break;
    case EngineHealth::kFailingOrSlow:
      text += ": ejected: failing or slow";
      break;
  }
  return text;
}

}  // namespace firvalve
