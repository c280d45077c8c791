#include "index/again.h"

#include <gtest/gtest.h>

#include <vector>

namespace firvalve {
namespace {

TEST(Again, WaitsGrowToTheirEndAndBeginAnewOnceItIsWell) {
  Again again(250, 1000, 7);
  for (const Ms width : {250.0, 500.0, 1000.0, 1000.0, 1000.0}) {
    const Ms wait = again.wait();
    EXPECT_GE(wait, width / 2);
    EXPECT_LE(wait, std::min(1.5 * width, 1000.0));
  }
  for (int i = 0; i < 100; ++i) EXPECT_LE(again.wait(), 1000);  // the doubling has an end
  again.well();
  EXPECT_LE(again.wait(), 375);
}

// Three hundred gateways lose one thing in the same moment: no tenth of the time over which they come back
// has more than twice its share, at the first attempt and at the third.
TEST(Again, GatewaysOfOneFleetComeBackSpread) {
  std::vector<int> first(10), third(10);
  for (uint64_t seed = 0; seed < 300; ++seed) {
    Again again(250, 1000, seed);
    const Ms one = again.wait();
    ++first[static_cast<size_t>(std::min(9.0, (one - 125) / 25))];
    const Ms three = one + again.wait() + again.wait();
    ++third[static_cast<size_t>(std::clamp((three - 875) / 125, 0.0, 9.0))];
  }
  for (const int count : first) EXPECT_LE(count, 60);
  for (const int count : third) EXPECT_LE(count, 90);
}

TEST(Again, TheSameSeedGivesTheSameWaits) {
  Again one(250, 1000, 3), two(250, 1000, 3);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(one.wait(), two.wait());
}

}  // namespace
}  // namespace firvalve
