// Derives the admission limits from the settings and checks requests against them.
#include "core/admission_limits.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/settings.h"
#include "policy/setting_keys.h"

namespace firvalve {

AdmissionLimits::AdmissionLimits(const Settings& settings) {
  double max_cores = 0, max_memory_mb = 0;
  for (const auto& [name, value] : settings) {
    if (name.starts_with(setting::kCoresPrefix))
      max_cores = std::max(max_cores, number_setting(settings, name));
    if (name.starts_with(setting::kMemoryPrefix))
      max_memory_mb = std::max(max_memory_mb, number_setting(settings, name));
  }
  if (const std::optional<Duration> longest = longest_client_timeout(settings)) {
    max_timeout_ = 2 * *longest;
    if (max_cores > 0) max_estimated_work_ = kEstimateTolerance * *longest * max_cores;
  }
  if (max_memory_mb > 0) max_memory_mb_ = kEstimateTolerance * max_memory_mb;
}

bool AdmissionLimits::allow(const CommandRequest& request) const {
  return !(request.timeout > max_timeout_ ||
           request.estimated_work.value_or(Duration{}) > max_estimated_work_ ||
           request.memory_mb > max_memory_mb_);
}

std::optional<Duration> longest_client_timeout(const Settings& settings) {
  Duration longest{};
  for (size_t i = 0; i < names_of(settings, setting::kProfiles).size(); ++i)
    longest = std::max(longest,
                       duration_of(number_setting(settings, fmt::format("{}.{}.{}", setting::kProfiles, i,
                                                                        setting::profile::kClientTimeout))));
  return longest > Duration{} ? std::optional(longest) : std::nullopt;
}

}  // namespace firvalve
