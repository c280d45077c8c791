// Profiles: the settings for a kind of command, and what was learned about it.
#pragma once

#include <string>
#include <vector>

#include "base/time.h"
#include "policy/cost_prediction.h"
#include "policy/settings.h"

namespace firvalve {

// What happens if a command runs a second time.
enum class Effect {
  kReplayable,     // no harm: it may run any number of times
  kDeduplicated,   // engines drop the duplicate, within a scope and for a window after the first run
  kNonReplayable,  // harm: it must not run again once it may have run
};

// The set of engines that recognize each other's commands as duplicates.
enum class DeduplicationScope { kAllEngines, kZone, kCell };

struct Profile {
  double benefit = 0;     // of an answer that meets the latency objective
  double late_share = 0;  // share of the benefit that a late answer still has
  // The latency objective is the target plus this many times the predicted runtime.
  Duration latency_target{};
  double target_slowdown = 0;
  Effect effect = Effect::kReplayable;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAllEngines;
  Duration deduplication_window{};
  bool is_ordered = false;  // commands with the same ordering key run one at a time, in order of admission
  bool is_load = false;     // writes a table group, which blocks readers of it on the engine
  bool waits_for_loads = false;  // is blocked while a load writes the tables that it reads
  int threads = 0;
  std::vector<std::string> zones, machine_types;  // where it may run; empty: anywhere
  // Learned:
  ProfileCosts costs;
  double memory_factor = 0;  // times the estimated memory: covers what most commands need
};

// Access to the profile with this number in the settings, counted from 0.
bool has_profile(const Settings& settings, int number);
Profile profile_from(const Settings& settings, int number);

}  // namespace firvalve
