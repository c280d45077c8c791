// Scheduling hints: the priority and the memory grant that an engine gets with an attempt, where it heeds
// them.
//
// Short commands go first where cores or disks are short. The memory grant is the client's estimate times a
// factor that is learned per profile, as a high quantile of what commands needed: what falls short spills to
// disk, and that costs far more than memory lying idle.
#pragma once

#include <optional>

namespace firvalve {

struct AttemptFinished;
struct Command;
struct Profile;
struct State;

struct SchedulingHints {
  std::optional<int> priority;  // larger goes first; none: not yet set
  double memory_grant_mb = 0;   // 0: the engine's own choice
};

constexpr double kInitialMemoryFactor = 1.4;  // times the estimate, until outcomes tell better

SchedulingHints scheduling_hints_for(const State& state, const Command& command);

// Learns the memory factor from an attempt that ended well.
void learn_memory(Profile& profile, const Command& command, const AttemptFinished& event);

}  // namespace firvalve
