// The engine pool: engines set apart for heavy commands, so that light ones do not wait behind them.
//
// The pool is one zone of two or more engines where there are several zones, or else the last engines by id,
// sized to the heavy share of work. Every gateway derives the same one: the zone of the last id.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

struct State;

struct EnginePoolState {
  std::vector<size_t> ready;        // scratch: places of ready engines
  std::vector<size_t> zone_counts;  // scratch: ready engines by zone index
  uint64_t engines_examined = 0;    // since the start: a measure of the work to find the pool's zone
  double heavy_attempts = 0, heavy_rejections = 0;  // fading counts; rejected: full or timed out
  TimePoint counted_at{};
};

// Decides which engines are in the pool, and which commands count as heavy.
void update_pool(State& state);

// Counts the end of an attempt of a heavy command in the pool.
void fade_pool_counts(State& state, TimePoint now);
void count_pool_outcome(State& state, Outcome outcome);

// Whether so many heavy commands are rejected there that further ones are held back.
bool is_pool_overloaded(const State& state);

}  // namespace firvalve
