// The few formulas that several mechanisms share.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/time.h"

namespace firvalve {

// Moves a running mean (exponentially weighted) towards a sample. A mean of zero has no sample yet.
template <class Value>
void blend(Value& mean, Value sample, double weight) {
  mean = mean == Value{} ? sample : mean + weight * (sample - mean);
}

// What is left of a count that fades exponentially over a window, since it was last counted.
inline double fading_factor(TimePoint& counted_at, TimePoint now, Duration window) {
  const double factor = std::exp(-(now - counted_at) / window);
  counted_at = now;
  return factor;
}

// Exponential backoff: doubles with each call, up to a maximum of 8 s.
inline Duration next_backoff(Duration first, int& in_a_row) {
  constexpr Duration kBackoffMax = std::chrono::seconds(8);
  return std::min(kBackoffMax, first * (1 << std::min(in_a_row++, 8)));
}

}  // namespace firvalve
