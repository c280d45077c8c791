#include "core/metrics.h"

#include <fmt/format.h>

namespace firvalve {

void Metrics::add(std::string_view name, std::string_view kind, uint64_t count) {
  std::string full_name(name);
  if (!kind.empty()) full_name.append(" ").append(kind);
  counts[full_name] += count;
}

std::string Metrics::text() const {
  std::string out = "counters";
  for (const auto& [name, count] : counts) out += fmt::format("; {}: {}", name, count);
  return out;
}

}  // namespace firvalve
