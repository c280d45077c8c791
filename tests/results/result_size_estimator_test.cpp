#include "results/result_size_estimator.h"

#include <gtest/gtest.h>

namespace firvalve::results {
namespace {

TEST(ResultSizeEstimator, AQuantileNotAMeanByGroupThenByProfile) {
  ResultSizeEstimator sizes(1000);
  EXPECT_EQ(sizes.expected("report", 1), 1000);
  for (int i = 0; i < 100; ++i) sizes.ended("report", 1, i % 5 == 0 ? 100000 : 100);
  EXPECT_GE(sizes.expected("report", 1), 100000);  // a fifth is large: nine in ten means those, too
  for (int i = 0; i < 200; ++i) sizes.ended("report", 2, 100);
  EXPECT_LE(sizes.expected("report", 2), 200);
  EXPECT_LE(sizes.expected("report", 77), 200);  // as the profile was lately
}

TEST(ResultSizeEstimator, GroupsAreBounded) {
  ResultSizeEstimator sizes(1000);
  for (int i = 0; i < 10000; ++i) sizes.ended("report", i, 100);
  EXPECT_LE(sizes.groups(), 4096u);
}

}  // namespace
}  // namespace firvalve::results
