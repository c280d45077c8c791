// Texts of health changes, as the log writes them.
#include "core/engine_health.h"

namespace firvalve {

std::string_view name_of(EngineHealth health) {
  static constexpr std::string_view kNames[] = {"reinstated", "unresponsive", "failing or slow"};
  return kNames[static_cast<size_t>(health)];
}

}  // namespace firvalve
