// Tests of the detection of wall clock steps.
#include "net/clock_step_detector.h"

#include <gtest/gtest.h>

namespace firvalve::net {
namespace {

std::optional<Duration> find_step(ClockStepDetector& detector, Ms monotonic, Ms wall) {
  return detector.find_step(time_point_of(monotonic), duration_of(wall));
}

TEST(ClockStepDetector, ReportsEachStepOnceWithItsDirection) {
  ClockStepDetector detector;
  EXPECT_FALSE(find_step(detector, 1000, 1700000000000));
  EXPECT_FALSE(find_step(detector, 2000, 1700000001001));  // slewed
  EXPECT_EQ(find_step(detector, 3000, 1700003602001), duration_of(3600000));
  EXPECT_FALSE(find_step(detector, 4000, 1700003603001));
  EXPECT_EQ(find_step(detector, 5000, 1700000004001), duration_of(-3600000));
}

}  // namespace
}  // namespace firvalve::net
