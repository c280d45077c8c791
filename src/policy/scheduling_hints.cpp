// Derives the hints of a command and learns the memory factor of its profile.
#include "policy/scheduling_hints.h"

#include "policy/state.h"

namespace firvalve {
namespace {

constexpr int kPriorityShort = 3;  // short commands go first where cores or disks are scarce
// The default priority: commands that are not short are held back in the queue, not on the engine.
constexpr int kPriorityOther = 1;
constexpr double kCoveredShare = 0.95;  // of commands get all the memory they need
constexpr double kMemoryStep = 0.05;  // per outcome towards that share: settles within some hundred outcomes

}  // namespace

SchedulingHints scheduling_hints_for(const State& state, const Command& command) {
  SchedulingHints hints;
  hints.priority = is_short(state, command) ? kPriorityShort : kPriorityOther;
  if (state.options.are_memory_grants_honoured)
    hints.memory_grant_mb = command.request.estimated_memory_mb * profile_of(state, command).memory_factor;
  return hints;
}

void learn_memory(Profile& profile, const Command& command, const AttemptFinished& event) {
  const double estimated_mb = command.request.estimated_memory_mb;
  if (!event.memory_mb || estimated_mb <= 0) return;
  const bool fell_short = *event.memory_mb > profile.memory_factor * estimated_mb;
  profile.memory_factor *=
      fell_short ? 1 + kMemoryStep * kCoveredShare : 1 - kMemoryStep * (1 - kCoveredShare);
}

}  // namespace firvalve
