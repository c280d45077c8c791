// Engine pool: engines set aside for heavy commands, so that light ones do not wait behind them.
//
// Where there are several zones the pool is one zone of at least two engines, otherwise the last engines by
// id, in number according to the heavy share of work. Every gateway derives the same pool zone: that of the
// last engine by id whose zone qualifies.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

struct State;

// State of the engine pool.
struct EnginePoolState {
  std::vector<size_t> ready;        // scratch: indices of ready engines
  std::vector<size_t> zone_counts;  // scratch: ready engines per zone index
  uint64_t engines_examined = 0;    // since the start; measures the cost of finding the pool's zone
  double heavy_attempts = 0, heavy_rejections = 0;  // decaying counts; rejected means queue full or timed out
  TimePoint decayed_at{};
};

// Decides which engines are in the pool and which commands count as heavy.
void update_pool(State& state);

// Decay the counts of heavy attempts in the pool, and add an outcome to them.
void decay_pool_counts(State& state, TimePoint now);
void count_pool_outcome(State& state, Outcome outcome);

// Whether so many heavy attempts are rejected in the pool that further heavy commands must wait.
bool is_pool_overloaded(const State& state);

}  // namespace firvalve
