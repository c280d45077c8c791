// Searches over states, printed as they end: whole up to a bound, or random walks with an injected bug.
#pragma once

#include <cstdio>

#include "base/injected_bug.h"
#include "bound.h"
#include "simulation/explore.h"

namespace firvalve {

inline void print(const simulation::Explored& out) {
  std::printf("%zu states, depth %zu, %s%s\n", out.states, out.depth, out.whole ? "whole" : "cut off",
              out.breach ? (": " + *out.breach).c_str() : "");
  for (const std::string& line : out.trace) std::printf("  %s\n", line.c_str());
}

template <class State, class Bounds>
simulation::Explored explored(const Bounds& bounds, size_t most) {
  const simulation::Explored out = simulation::explore(State(bounds), most);
  print(out);
  return out;
}

// Whether walks from the state, with the bug injected, violate an invariant.
template <class State, class Bounds>
bool walks_find(const Bounds& bounds, InjectedBug bug, size_t walks) {
  injected_bug = bug;
  const simulation::Explored out = simulation::wander(State(bounds), 1, walks, 60);
  injected_bug = InjectedBug::kNone;
  print(out);
  return out.breach.has_value();
}

}  // namespace firvalve
