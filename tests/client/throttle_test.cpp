// Tests the rejection probability of client-side throttling.
#include "client/throttle.h"

#include <gtest/gtest.h>

namespace firvalve::client {
namespace {

constexpr TimePoint at(Ms ms) { return time_point_of(ms); }

TEST(Throttle, RejectsNothingWhileHalfAreAccepted) {
  Throttle throttle(Duration(10000));
  for (int i = 0; i < 50; ++i) throttle.record_refused(at(100)), throttle.record_accepted(at(100));
  EXPECT_EQ(throttle.rejection_probability(at(100)), 0);
}

TEST(Throttle, RejectsMostCallsOnlyAfterManyRefusals) {
  Throttle throttle(Duration(10000));
  for (int i = 0; i < 9; ++i) throttle.record_refused(at(100));
  EXPECT_EQ(throttle.rejection_probability(at(100)), 0);
  for (int i = 0; i < 90; ++i) throttle.record_refused(at(100));
  EXPECT_GT(throttle.rejection_probability(at(100)), 0.9);
  for (int i = 0; i < 100; ++i) throttle.record_accepted(at(200));
  EXPECT_EQ(throttle.rejection_probability(at(200)), 0);
  EXPECT_EQ(throttle.rejection_probability(at(30000)), 0);
}

}  // namespace
}  // namespace firvalve::client
