// Profiles: what the settings say of a kind of command, and what was learned about it.
#pragma once

#include <string>
#include <vector>

#include "base/time.h"
#include "policy/cost_prediction.h"
#include "policy/settings.h"

namespace firvalve {

// What a second run of a command would do.
enum class Effect {
  kReplayable,     // no harm: it may run any number of times
  kDeduplicated,   // engines drop it, within a scope and for a window after the first
  kNonReplayable,  // harm: once it may have run it must not run again
};

// The engines that recognize each other's commands as duplicates.
enum class DeduplicationScope { kAllEngines, kZone, kCell };

struct Profile {
  double benefit = 0;     // of an answer that meets the latency objective
  double late_share = 0;  // of that benefit, for a late answer
  // The latency objective: the target, and so many times the predicted runtime.
  Duration latency_target{};
  double target_slowdown = 0;
  Effect effect = Effect::kReplayable;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAllEngines;
  Duration deduplication_window{};
  bool is_ordered = false;       // commands of one ordering key run one at a time, as admitted
  bool is_load = false;          // writes a table group, which blocks its readers on that engine
  bool waits_for_loads = false;  // is blocked while a load writes the tables that it reads
  int threads = 0;
  std::vector<std::string> zones, machine_types;  // where it may run; empty: anywhere
  // Learned:
  ProfileCosts costs;
  double memory_factor = 0;  // of the estimated memory: covers what most commands need
};

// The profile of that number in the settings, counted from 0, if there is one.
bool has_profile(const Settings& settings, int number);
Profile profile_from(const Settings& settings, int number);

}  // namespace firvalve
