#include "policy/profile.h"

#include <algorithm>

#include "policy/setting_keys.h"

namespace firvalve {
namespace {

namespace keys = setting::profile;

std::string prefix_of(int profile_number) {
  std::string prefix = setting::kProfiles;
  prefix += '.';
  prefix += std::to_string(profile_number);
  return prefix += '.';
}

Effect effect_named(const std::string& name) {
  if (name == "replayable") return Effect::kReplayable;
  return name == "uniqued" ? Effect::kDeduplicated : Effect::kNonReplayable;
}

DeduplicationScope scope_named(const std::string& name) {
  if (name == "all") return DeduplicationScope::kAllEngines;
  return name == "zone" ? DeduplicationScope::kZone : DeduplicationScope::kCell;
}

}  // namespace

bool has_profile(const Settings& settings, int profile_number) {
  return settings.count(prefix_of(profile_number) + keys::kName) > 0;
}

Profile profile_from(const Settings& settings, int profile_number) {
  const std::string prefix = prefix_of(profile_number);
  Profile profile;
  profile.benefit = number(settings, prefix + keys::kBenefit, 1);
  profile.late_share = number(settings, prefix + keys::kLateShare);
  profile.latency_target = duration_of(number(settings, prefix + keys::kLatencyTarget));
  profile.target_slowdown = number(settings, prefix + keys::kTargetStretch);
  profile.effect = effect_named(text(settings, prefix + keys::kEffect));
  profile.deduplication_scope = scope_named(text(settings, prefix + keys::kDedupScope));
  profile.deduplication_window = duration_of(number(settings, prefix + keys::kRepeatWindow));
  profile.is_ordered = number(settings, prefix + keys::kIsOrdered) > 0;
  profile.is_load = number(settings, prefix + keys::kIsLoad) > 0;
  profile.waits_for_loads = number(settings, prefix + keys::kWaitsForLoads) > 0;
  profile.threads = std::max(1, static_cast<int>(number(settings, prefix + keys::kThreads, 1)));
  profile.zones = texts(settings, prefix + keys::kZones);
  profile.machine_types = texts(settings, prefix + keys::kMachines);
  return profile;
}

}  // namespace firvalve
