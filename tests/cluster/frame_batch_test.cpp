// Tests of packing outgoing messages into frames.
#include "cluster/frame_batch.h"

#include <gtest/gtest.h>

#include "cluster/peer_limits.h"

namespace firvalve::cluster {
namespace {

std::vector<consensus::Message> make_messages(size_t count, size_t value_bytes) {
  std::vector<consensus::Message> messages(count);
  for (size_t i = 0; i < count; ++i) {
    messages[i].request_id = i + 1;
    messages[i].register_state.value.assign(value_bytes, 'x');
  }
  return messages;
}

TEST(FrameBatch, PacksFewMessagesIntoOneFrame) {
  const std::vector<consensus::Message> messages = make_messages(10, 100);
  const std::vector<Frame> frames = pack_frames("127.0.0.1:7000", 99, messages);
  ASSERT_EQ(frames.size(), 1u);
  EXPECT_EQ(frames[0].sender, "127.0.0.1:7000");
  EXPECT_EQ(frames[0].replicas_hash, 99u);
  EXPECT_EQ(frames[0].messages, messages);
  EXPECT_TRUE(pack_frames("127.0.0.1:7000", 99, {}).empty());
}

TEST(FrameBatch, StartsANewFrameAtTheTargetSizeAndPreservesOrder) {
  const std::vector<consensus::Message> messages = make_messages(7, kTargetFrameBytes / 2);
  const std::vector<Frame> frames = pack_frames("a", 1, messages);
  ASSERT_EQ(frames.size(), 4u);
  std::vector<consensus::Message> unpacked;
  for (const Frame& frame : frames) {
    EXPECT_LE(frame.messages.size(), 2u);
    unpacked.insert(unpacked.end(), frame.messages.begin(), frame.messages.end());
  }
  EXPECT_EQ(unpacked, messages);
}

}  // namespace
}  // namespace firvalve::cluster
