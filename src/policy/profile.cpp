#include "policy/profile.h"

#include <algorithm>

namespace firvalve {
namespace {

Effect effect_named(const std::string& name) {
  if (name == "replayable") return Effect::kReplayable;
  return name == "uniqued" ? Effect::kDeduplicated : Effect::kNonReplayable;
}

DeduplicationScope scope_named(const std::string& name) {
  if (name == "all") return DeduplicationScope::kAllEngines;
  return name == "zone" ? DeduplicationScope::kZone : DeduplicationScope::kCell;
}

}  // namespace

Profile profile_from(const Settings& settings, int profile_number) {
  const std::string prefix = "profile." + std::to_string(profile_number) + ".";
  Profile profile;
  profile.benefit = number(settings, prefix + "benefit", 1);
  profile.late_share = number(settings, prefix + "late share");
  profile.latency_target = duration_of(number(settings, prefix + "latency target"));
  profile.target_slowdown = number(settings, prefix + "target stretch");
  profile.effect = effect_named(text(settings, prefix + "effect"));
  profile.deduplication_scope = scope_named(text(settings, prefix + "group"));
  profile.deduplication_window = duration_of(number(settings, prefix + "repeat window"));
  profile.is_ordered = number(settings, prefix + "in order") > 0;
  profile.is_load = number(settings, prefix + "load") > 0;
  profile.waits_for_loads = number(settings, prefix + "waits") > 0;
  profile.threads = std::max(1, static_cast<int>(number(settings, prefix + "threads", 1)));
  profile.zones = texts(settings, prefix + "zone");
  profile.machine_types = texts(settings, prefix + "machine");
  return profile;
}

}  // namespace firvalve
