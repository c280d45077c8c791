// Changes of engines' health, as the policy's outlier detection sees it: for the log. No decision depends on
// it.
#pragma once

#include <functional>
#include <string_view>

#include "policy/actions.h"

namespace firvalve {

// The policy has ejected an engine, or reinstated it. The views are good for the call alone.
struct EngineHealthChange {
  std::string_view engine;  // its listed name; empty: it is no longer listed
  EngineHealth health = EngineHealth::kReinstated;
};
using EngineHealthObserver = std::function<void(const EngineHealthChange& change)>;

std::string_view name_of(EngineHealth health);

}  // namespace firvalve
