// Computes whether one more retry is within the budget.
#include "client/retry_budget.h"

namespace firvalve::client {

bool RetryBudget::allows_retry(TimePoint now, uint64_t reserved) const {
  const auto retries = static_cast<double>(counters_.upper_bound(now, kRetries) + reserved + 1);
  return retries <= share_ * static_cast<double>(counters_.lower_bound(now, kFirstAttempts)) + rounding_;
}

}  // namespace firvalve::client
