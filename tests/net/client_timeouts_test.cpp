// Tests of which timeout of a client connection has expired.
#include "net/client_timeouts.h"

#include <gtest/gtest.h>

namespace firvalve::net {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint at(Ms ms) { return time_point_of<MonotonicClock>(ms); }

// A connection whose last message or answer was at 0.
ClientActivity at_rest() {
  ClientActivity activity;
  activity.has_sent_message = true;
  activity.last_active_at = at(0);
  return activity;
}

TEST(ClientTimeouts, ConnectionAtRestExpiresUnlessACallIsOpen) {
  ClientActivity activity = at_rest();
  EXPECT_EQ(expired_timeout(activity, at(4500)), ClientTimeout::kNone);
  EXPECT_EQ(expired_timeout(activity, at(4501)), ClientTimeout::kIdle);
  activity.has_open_calls = true;
  EXPECT_EQ(expired_timeout(activity, at(60000)), ClientTimeout::kNone);
}

// Guards against a request that is cut off because its connection rested before it was begun.
TEST(ClientTimeouts, MessageBegunAfterARestHasItsWholeTimeout) {
  ClientActivity activity = at_rest();
  activity.partial_message_since = at(4400);
  EXPECT_EQ(expired_timeout(activity, at(6400)), ClientTimeout::kNone);
  EXPECT_EQ(expired_timeout(activity, at(6401)), ClientTimeout::kIncompleteMessage);
}

// Guards against a first request that is cut off because it was begun some time after the connect.
TEST(ClientTimeouts, FirstMessageHasItsWholeTimeout) {
  ClientActivity activity;
  activity.last_active_at = at(0);
  EXPECT_EQ(expired_timeout(activity, at(2000)), ClientTimeout::kNone);
  EXPECT_EQ(expired_timeout(activity, at(2001)), ClientTimeout::kNoMessage);
  activity.partial_message_since = at(1900);
  EXPECT_EQ(expired_timeout(activity, at(3900)), ClientTimeout::kNone);
  EXPECT_EQ(expired_timeout(activity, at(3901)), ClientTimeout::kIncompleteMessage);
}

TEST(ClientTimeouts, IncompleteMessageExpiresBesideOpenCalls) {
  ClientActivity activity = at_rest();
  activity.has_open_calls = true;
  activity.partial_message_since = at(100);
  EXPECT_EQ(expired_timeout(activity, at(2101)), ClientTimeout::kIncompleteMessage);
}

}  // namespace
}  // namespace firvalve::net
