// Growth, jitter, reset and reproducibility of backoff delays.
#include "base/backoff.h"

#include <gtest/gtest.h>

#include <vector>

namespace firvalve {
namespace {

TEST(Backoff, DelaysGrowToTheMaximumAndRestartAfterReset) {
  Backoff backoff(250, 1000, 7);
  for (const Ms nominal : {250.0, 500.0, 1000.0, 1000.0, 1000.0}) {
    const Ms delay = backoff.next_delay();
    EXPECT_GE(delay, nominal / 2);
    EXPECT_LE(delay, std::min(1.5 * nominal, 1000.0));
  }
  for (int i = 0; i < 100; ++i) EXPECT_LE(backoff.next_delay(), 1000);  // doubling stops at the maximum
  backoff.reset();
  EXPECT_LE(backoff.next_delay(), 375);
}

// 300 gateways lose the same server at the same moment. At their first retry at most 60 fall into the same
// tenth of the retry interval, twice the average; at their third at most 90, three times the average.
TEST(Backoff, RetriesOfManyGatewaysAreSpreadOverTime) {
  std::vector<int> first(10), third(10);
  for (uint64_t seed = 0; seed < 300; ++seed) {
    Backoff backoff(250, 1000, seed);
    const Ms first_at = backoff.next_delay();
    ++first[static_cast<size_t>(std::min(9.0, (first_at - 125) / 25))];
    const Ms third_at = first_at + backoff.next_delay() + backoff.next_delay();
    ++third[static_cast<size_t>(std::clamp((third_at - 875) / 125, 0.0, 9.0))];
  }
  for (const int count : first) EXPECT_LE(count, 60);
  for (const int count : third) EXPECT_LE(count, 90);
}

TEST(Backoff, SameSeedGivesTheSameDelays) {
  Backoff one(250, 1000, 3), two(250, 1000, 3);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(one.next_delay(), two.next_delay());
}

}  // namespace
}  // namespace firvalve
