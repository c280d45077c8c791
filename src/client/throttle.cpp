// Computes the rejection probability of client-side throttling.
#include "client/throttle.h"

#include <algorithm>
#include <cstdint>

namespace firvalve::client {
namespace {

constexpr double kAcceptedWeight = 2;  // no throttling while at least half of the calls are accepted
constexpr uint64_t kMinCalls = 10;     // too few calls to judge the gateways

}  // namespace

double Throttle::rejection_probability(TimePoint now) const {
  const uint64_t all = counters_.lower_bound(now, kAll), accepted = counters_.lower_bound(now, kAccepted);
  if (all < kMinCalls) return 0;
  return std::max(0.0, (static_cast<double>(all) - kAcceptedWeight * static_cast<double>(accepted)) /
                           (static_cast<double>(all) + 1));
}

}  // namespace firvalve::client
