// State space searches for tests: exhaustive up to a bound, or random walks with an injected bug. Each search
// prints its result.
#pragma once

#include <cstdio>

#include "base/injected_bug.h"
#include "bound.h"
#include "simulation/explore.h"

namespace firvalve {

inline void print(const simulation::SearchResult& out) {
  std::printf("%zu states, depth %zu, %s%s\n", out.states, out.depth,
              out.is_complete ? "complete" : "stopped at the limit",
              out.violation ? (": " + *out.violation).c_str() : "");
  for (const std::string& line : out.trace) std::printf("  %s\n", line.c_str());
}

// Searches all states that are reachable within the bounds, up to `max_states`.
template <class State, class Bounds>
simulation::SearchResult explore_and_print(const Bounds& bounds, size_t max_states) {
  const simulation::SearchResult out = simulation::explore(State(bounds), max_states);
  print(out);
  return out;
}

// Whether random walks find an invariant violation while the bug is injected.
template <class State, class Bounds>
bool random_walks_find_violation(const Bounds& bounds, InjectedBug bug, size_t walks) {
  constexpr uint64_t kSeed = 1;
  constexpr size_t kMaxMoves = 60;  // a walk
  injected_bug = bug;
  const simulation::SearchResult out = simulation::random_walks(State(bounds), kSeed, walks, kMaxMoves);
  injected_bug = InjectedBug::kNone;
  print(out);
  return out.violation.has_value();
}

}  // namespace firvalve
