// Searches over states, printed as they end: whole up to a bound, or random walks with an injected bug.
#pragma once

#include <cstdio>

#include "base/injected_bug.h"
#include "bound.h"
#include "lab/explore.h"

namespace firvalve {

inline void print(const lab::Explored& out) {
  std::printf("%zu states, depth %zu, %s%s\n", out.states, out.depth, out.whole ? "whole" : "cut off",
              out.breach ? (": " + *out.breach).c_str() : "");
  for (const std::string& line : out.trace) std::printf("  %s\n", line.c_str());
}

template <class State, class Bounds>
lab::Explored explored(const Bounds& bounds, size_t most) {
  const lab::Explored out = lab::explore(State(bounds), most);
  print(out);
  return out;
}

// Whether walks from the state, with the bug injected, violate an invariant.
template <class State, class Bounds>
bool walks_find(const Bounds& bounds, InjectedBug bug, size_t walks) {
  injected_bug = bug;
  const lab::Explored out = lab::wander(State(bounds), 1, walks, 60);
  injected_bug = InjectedBug::kNone;
  print(out);
  return out.breach.has_value();
}

}  // namespace firvalve
