// Reads profiles from the settings.
#include "policy/profile.h"

#include <algorithm>

#include "policy/setting_keys.h"

namespace firvalve {
namespace {

namespace keys = setting::profile;

std::string key_prefix(int profile_number) {
  std::string prefix = setting::kProfiles;
  prefix += '.';
  prefix += std::to_string(profile_number);
  return prefix += '.';
}

Effect parse_effect(const std::string& name) {
  if (name == "replayable") return Effect::kReplayable;
  return name == "uniqued" ? Effect::kDeduplicated : Effect::kNonReplayable;
}

DeduplicationScope parse_deduplication_scope(const std::string& name) {
  if (name == "all") return DeduplicationScope::kAllEngines;
  return name == "zone" ? DeduplicationScope::kZone : DeduplicationScope::kCell;
}

}  // namespace

bool has_profile(const Settings& settings, int profile_number) {
  return settings.count(key_prefix(profile_number) + keys::kName) > 0;
}

Profile profile_from(const Settings& settings, int profile_number) {
  const std::string prefix = key_prefix(profile_number);
  Profile profile;
  profile.benefit = number_setting(settings, prefix + keys::kBenefit, 1);
  profile.late_share = number_setting(settings, prefix + keys::kLateShare);
  profile.latency_target = duration_of(number_setting(settings, prefix + keys::kLatencyTarget));
  profile.target_slowdown = number_setting(settings, prefix + keys::kTargetSlowdown);
  profile.effect = parse_effect(text_setting(settings, prefix + keys::kEffect));
  profile.deduplication_scope =
      parse_deduplication_scope(text_setting(settings, prefix + keys::kDeduplicationScope));
  profile.deduplication_window = duration_of(number_setting(settings, prefix + keys::kDeduplicationWindow));
  profile.is_ordered = number_setting(settings, prefix + keys::kIsOrdered) > 0;
  profile.is_load = number_setting(settings, prefix + keys::kIsLoad) > 0;
  profile.waits_for_loads = number_setting(settings, prefix + keys::kWaitsForLoads) > 0;
  profile.threads = std::max(1, static_cast<int>(number_setting(settings, prefix + keys::kThreads, 1)));
  profile.zones = text_list_setting(settings, prefix + keys::kZones);
  profile.machine_types = text_list_setting(settings, prefix + keys::kMachineTypes);
  return profile;
}

}  // namespace firvalve
