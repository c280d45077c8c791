#include "net/clock_watch.h"

#include <gtest/gtest.h>

namespace firvalve::net {
namespace {

TEST(ClockWatch, TellsStepsAndTheirDirectionOnce) {
  ClockWatch watch;
  EXPECT_FALSE(watch.step(1000, 1700000000000));
  EXPECT_FALSE(watch.step(2000, 1700000001001));  // slewed
  EXPECT_EQ(watch.step(3000, 1700003602001), 3600000);
  EXPECT_FALSE(watch.step(4000, 1700003603001));
  EXPECT_EQ(watch.step(5000, 1700000004001), -3600000);
}

}  // namespace
}  // namespace firvalve::net
