// Tests of Fence, the check of fencing tokens.
#include "lease/fence.h"

#include <gtest/gtest.h>

namespace firvalve::lease {
namespace {

TEST(FenceTest, RejectsOnlyEpochsOlderThanTheHighestSeen) {
  Fence fence;
  EXPECT_TRUE(fence.admits("d", 3));
  EXPECT_TRUE(fence.admits("d", 3));
  EXPECT_FALSE(fence.admits("d", 2));
  EXPECT_TRUE(fence.admits("e", 1));
  EXPECT_TRUE(fence.admits("d", 4));
  EXPECT_FALSE(fence.admits("d", 3));
}

}  // namespace
}  // namespace firvalve::lease
