// Limits of state searches and simulation runs in tests, with environment variables that override them. The
// sanitizer builds set lower limits, because a state costs about thirty times as much there
// (tests/CMakeLists.txt).
#pragma once

#include <algorithm>
#include <cstdlib>
#include <string>

namespace firvalve {

inline size_t limit_from_environment(const char* variable, size_t default_limit) {
  const char* const value = std::getenv(variable);
  return value ? std::stoul(value) : default_limit;
}
inline size_t state_limit() { return limit_from_environment("FIRVALVE_STATES", 40000); }
inline size_t seed_limit() { return limit_from_environment("FIRVALVE_SEEDS", 20); }

}  // namespace firvalve
