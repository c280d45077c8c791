// The rate of messages that open no call.
#include "policy/message_rate_limit.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

// Handles messages for as long as the limit allows and returns how many those were.
int handle_flood(MessageRateLimit& limit, Ms from, Ms to, size_t message_bytes) {
  int handled = 0;
  for (TimePoint now = at(from); now < at(to);) {
    const std::optional<TimePoint> wait_until = limit.wait_until(now);
    if (wait_until) {
      EXPECT_GT(*wait_until, now);
      now = *wait_until;
      continue;
    }
    limit.count(now, message_bytes);
    ++handled;
  }
  return handled;
}

TEST(MessageRateLimit, AllowsABurstAndThenSoManyASecond) {
  MessageRateLimit limit;
  EXPECT_NEAR(handle_flood(limit, 0, 10, 0), 128, 10);
  EXPECT_NEAR(handle_flood(limit, 10, 5010, 0), 5000, 200);
}

TEST(MessageRateLimit, LongMessagesCountMore) {
  MessageRateLimit limit;
  EXPECT_NEAR(handle_flood(limit, 0, 5000, size_t{100} * 1024), 51, 3);
}

TEST(MessageRateLimit, RefillsWhileNothingIsSent) {
  MessageRateLimit limit;
  handle_flood(limit, 0, 10, 0);
  EXPECT_NEAR(handle_flood(limit, 60000, 60001, 0), 128, 2);
}

}  // namespace
}  // namespace firvalve
