#include "policy/recent_runs.h"

#include "policy/state.h"

namespace firvalve {

void RecentRuns::add(const CommandId& id) {
  if (!ids_.insert(id.text).second) return;
  if (by_age_.size() < kMaxIds) return by_age_.push_back(id.text);
  ids_.erase(by_age_[oldest_]);
  by_age_[oldest_] = id.text;
  oldest_ = (oldest_ + 1) % kMaxIds;
}

void remember_run(State& state, const Command& command) {
  if (command.possible_run && profile_of(state, command).effect != Effect::kReplayable)
    state.recent_runs.add(command.request.id);
}

bool must_not_run_again(const State& state, const CommandId& id) { return state.recent_runs.contains(id); }

}  // namespace firvalve
