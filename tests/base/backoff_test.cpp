#include "base/backoff.h"

#include <gtest/gtest.h>

#include <vector>

namespace firvalve {
namespace {

TEST(Backoff, WaitsGrowToTheirEndAndBeginAnewOnceItIsWell) {
  Backoff backoff(250, 1000, 7);
  for (const Ms width : {250.0, 500.0, 1000.0, 1000.0, 1000.0}) {
    const Ms wait = backoff.next_delay();
    EXPECT_GE(wait, width / 2);
    EXPECT_LE(wait, std::min(1.5 * width, 1000.0));
  }
  for (int i = 0; i < 100; ++i) EXPECT_LE(backoff.next_delay(), 1000);  // the doubling has an end
  backoff.reset();
  EXPECT_LE(backoff.next_delay(), 375);
}

// Three hundred gateways lose one thing in the same moment: no tenth of the time over which they come back
// has more than twice its share, at the first attempt and at the third.
TEST(Backoff, GatewaysOfOneFleetComeBackSpread) {
  std::vector<int> first(10), third(10);
  for (uint64_t seed = 0; seed < 300; ++seed) {
    Backoff backoff(250, 1000, seed);
    const Ms one = backoff.next_delay();
    ++first[static_cast<size_t>(std::min(9.0, (one - 125) / 25))];
    const Ms three = one + backoff.next_delay() + backoff.next_delay();
    ++third[static_cast<size_t>(std::clamp((three - 875) / 125, 0.0, 9.0))];
  }
  for (const int count : first) EXPECT_LE(count, 60);
  for (const int count : third) EXPECT_LE(count, 90);
}

TEST(Backoff, TheSameSeedGivesTheSameWaits) {
  Backoff one(250, 1000, 3), two(250, 1000, 3);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(one.next_delay(), two.next_delay());
}

}  // namespace
}  // namespace firvalve
