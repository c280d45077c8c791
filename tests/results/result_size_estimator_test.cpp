// Tests the estimate of result sizes.
#include "results/result_size_estimator.h"

#include <gtest/gtest.h>

namespace firvalve::results {
namespace {

TEST(ResultSizeEstimator, EstimateIsAQuantileByTableGroupOrElseByProfile) {
  ResultSizeEstimator estimator(1000);
  EXPECT_EQ(estimator.estimate_bytes("report", 1), 1000);
  for (int i = 0; i < 100; ++i) estimator.add_result("report", 1, i % 5 == 0 ? 100000 : 100);
  EXPECT_GE(estimator.estimate_bytes("report", 1),
            100000);  // a fifth of the results is large, so the 0.9 quantile is large
  for (int i = 0; i < 200; ++i) estimator.add_result("report", 2, 100);
  EXPECT_LE(estimator.estimate_bytes("report", 2), 200);
  EXPECT_LE(estimator.estimate_bytes("report", 77), 200);  // from the profile's recent results
}

TEST(ResultSizeEstimator, NumberOfGroupsIsBounded) {
  ResultSizeEstimator estimator(1000);
  for (int i = 0; i < 10000; ++i) estimator.add_result("report", i, 100);
  EXPECT_LE(estimator.group_count(), 4096u);
}

}  // namespace
}  // namespace firvalve::results
