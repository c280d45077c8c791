// Tests the retry budget, also against generated sequences of attempts.
#include "client/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace firvalve::client {
namespace {

constexpr TimePoint at(Ms ms) { return time_point_of(ms); }

TEST(RetryBudget, NoRetryWithoutFirstAttempts) {
  RetryBudget budget(0.1, Duration(10000));
  budget.set_rounding(at(0), 0.99);
  EXPECT_FALSE(budget.allows_retry(at(0)));
}

TEST(RetryBudget, AllowsAShareOfFirstAttemptsPlusTheRounding) {
  RetryBudget budget(0.1, Duration(10000));
  budget.set_rounding(at(0), 0.5);
  for (int i = 0; i < 5; ++i) budget.record_first_attempt(at(100));
  EXPECT_TRUE(budget.allows_retry(at(200)));  // 0.5 + 0.5
  EXPECT_FALSE(budget.allows_retry(at(200), 1));
  budget.record_retry(at(200));
  EXPECT_FALSE(budget.allows_retry(at(201)));
  for (int i = 0; i < 10; ++i) budget.record_first_attempt(at(300));
  EXPECT_TRUE(budget.allows_retry(at(301)));
}

TEST(RetryBudget, AttemptsOutsideTheWindowDoNotCount) {
  RetryBudget budget(0.5, Duration(1000));
  budget.set_rounding(at(0), 0);
  budget.record_first_attempt(at(0)), budget.record_first_attempt(at(0));
  EXPECT_TRUE(budget.allows_retry(at(900)));
  EXPECT_FALSE(budget.allows_retry(at(1100)));
}

// 100 clients with three first attempts each per window: together they may retry a tenth of 300.
TEST(RetryBudget, ManySmallClientsTogetherStayWithinTheShare) {
  int retries = 0;
  for (int client = 0; client < 100; ++client) {
    RetryBudget budget(0.1, Duration(10000));
    budget.set_rounding(at(0), (client + 0.5) / 100);
    for (int i = 0; i < 3; ++i) budget.record_first_attempt(at(10 * i));
    for (; budget.allows_retry(at(50)); ++retries) budget.record_retry(at(50));
  }
  EXPECT_EQ(retries, 30);
}

RC_GTEST_PROP(RetryBudgetProperty, HoldsInEachWindowThatEndsWithARetry,
              (const std::vector<std::pair<uint16_t, bool>>& events)) {
  RetryBudget budget(0.25, Duration(1000));
  budget.set_rounding(at(0), 0.75);
  std::vector<TimePoint> first_attempts, retries;
  TimePoint now = at(5000);
  for (const auto& [wait, first] : events) {
    now += Duration(wait % 200);
    if (first) {
      budget.record_first_attempt(now);
      first_attempts.push_back(now);
    } else if (budget.allows_retry(now)) {
      budget.record_retry(now);
      retries.push_back(now);
      const auto count_in_window = [&](const std::vector<TimePoint>& all) {
        return std::count_if(all.begin(), all.end(),
                             [&](TimePoint time) { return time >= now - Duration(1000); });
      };
      RC_ASSERT(static_cast<double>(count_in_window(retries)) <=
                0.25 * static_cast<double>(count_in_window(first_attempts)) + 0.75);
    }
  }
}

}  // namespace
}  // namespace firvalve::client
