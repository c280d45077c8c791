// Tests of the order in which connections give up their buffers.
#include "net/buffer_reclaim.h"

#include <gtest/gtest.h>

namespace firvalve::net {
namespace {

constexpr size_t kFairShare = 1000;

ReclaimPriority incomplete_message(size_t bytes) { return reclaim_priority({bytes, true}, kFairShare); }
ReclaimPriority unread_answers(size_t bytes) { return reclaim_priority({bytes, false}, kFairShare); }

// Guards against clients that lose answers while a large message that nobody is owed is kept.
TEST(BufferReclaim, OversizedIncompleteMessagesComeFirstThenTheLargest) {
  EXPECT_GT(incomplete_message(1001), unread_answers(5000));
  EXPECT_GT(incomplete_message(3000), incomplete_message(2000));
  EXPECT_GT(unread_answers(3000), unread_answers(2000));
}

// Guards against clients that write a request slowly and are rejected for the memory that others hold.
TEST(BufferReclaim, SmallIncompleteMessagesComeAfterWhoeverHoldsMore) {
  EXPECT_LT(incomplete_message(1000), unread_answers(1500));
  EXPECT_LT(incomplete_message(1000), incomplete_message(1001));
}

}  // namespace
}  // namespace firvalve::net
