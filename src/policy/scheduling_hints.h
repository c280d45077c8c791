// Scheduling hints: the priority and the memory grant sent with an attempt to engines that honour them.
//
// Short commands go first where cores or disks are scarce. The memory grant is the client's estimate times a
// factor that is learned per profile, as a high quantile of what commands needed: a command with too small a
// grant spills to disk, which costs far more than idle memory.
#pragma once

#include <optional>

namespace firvalve {

struct AttemptFinished;
struct Command;
struct Profile;
struct State;

// The hints of one command.
struct SchedulingHints {
  std::optional<int> priority;  // larger goes first; empty until set
  double memory_grant_mb = 0;   // 0: the engine decides
};

constexpr double kInitialMemoryFactor = 1.4;  // times the estimate, until learned from outcomes

SchedulingHints scheduling_hints_for(const State& state, const Command& command);

// Learns the memory factor from a successful attempt.
void learn_memory(Profile& profile, const Command& command, const AttemptFinished& event);

}  // namespace firvalve
