// Formulas shared by several mechanisms: running mean, exponential decay and exponential backoff.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/time.h"

namespace firvalve {

// Updates an exponentially weighted running mean with a sample. A mean of zero has no samples yet.
template <class Value>
void update_running_mean(Value& mean, Value sample, double weight) {
  mean = mean == Value{} ? sample : mean + weight * (sample - mean);
}

// Returns the factor by which a count has decayed since `decayed_at`, which is set to `now`.
inline double decay_factor(TimePoint& decayed_at, TimePoint now, Duration window) {
  const double factor = std::exp(-(now - decayed_at) / window);
  decayed_at = now;
  return factor;
}

// Returns the next exponential backoff: doubles with each consecutive failure, up to 8 s.
inline Duration next_backoff(Duration first, int& consecutive_failures) {
  constexpr Duration kMaxBackoff = std::chrono::seconds(8);
  return std::min(kMaxBackoff, first * (1 << std::min(consecutive_failures++, 8)));
}

}  // namespace firvalve
