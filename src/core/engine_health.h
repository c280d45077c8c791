// Health changes of engines as reported by the policy's outlier detection, for the log. No decision depends
// on them.
#pragma once

#include <functional>
#include <string_view>

#include "policy/actions.h"

namespace firvalve {

// The policy has ejected or reinstated an engine. The view is valid only during the observer call.
struct EngineHealthChange {
  std::string_view engine;  // listed name; empty: no longer listed
  EngineHealth health = EngineHealth::kReinstated;
};
using EngineHealthObserver = std::function<void(const EngineHealthChange& change)>;

std::string_view name_of(EngineHealth health);

}  // namespace firvalve
