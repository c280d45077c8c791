#include "cluster/peer_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "peers_generated.h"

namespace firvalve::cluster {
namespace {

using consensus::Message;
using consensus::MessageType;

std::optional<Frame> read(const std::string& bytes, const char** reason = nullptr) {
  const char* why = "";
  auto frame = read_frame({bytes.data(), bytes.size()}, why);
  if (reason) *reason = why;
  return frame;
}

std::string body_of(const Frame& frame) {
  std::string out;
  append_frame(out, frame);
  return out.substr(out.find("\r\n\r\n") + 4);
}

rc::Gen<Message> messages() {
  const auto word = [] { return *rc::gen::container<std::string>(rc::gen::arbitrary<char>()); };
  const auto number = [] { return *rc::gen::arbitrary<uint64_t>(); };
  return rc::gen::exec([=] {
    const auto fact = [&] {
      consensus::Register f;
      f.version = number();
      f.change_id = number();
      f.earlier_changes = *rc::gen::arbitrary<std::vector<uint64_t>>();
      f.value = word();
      f.is_urgent = number() % 2;
      return f;
    };
    Message m;
    m.type = static_cast<MessageType>(*rc::gen::inRange(1, 12));
    m.request_id = number();
    m.key = word();
    m.ballot = {number(), number()};
    m.accepted_ballot = {number(), number()};
    m.register_state = fact();
    m.incarnation = number();
    m.known_incarnations = *rc::gen::arbitrary<std::vector<uint64_t>>();
    m.bootstrap_incarnations = *rc::gen::arbitrary<std::vector<uint64_t>>();
    m.since = number();
    (m.type == MessageType::kRejected ? m.is_out_of_space : m.is_voting) = number() % 2;
    m.has_more = number() % 2;
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
      m.entries.emplace_back(word(),
                             consensus::AcceptorSlot{{number(), number()}, {number(), number()}, fact()});
    return m;
  });
}

RC_GTEST_PROP(PeerFrames, ComeOutAsTheyWentIn, ()) {
  Frame frame;
  frame.sender = "127.0.0.1:7000";
  frame.replicas_hash = 99;
  frame.messages = *rc::gen::container<std::vector<Message>>(messages());
  const auto out = read(body_of(frame));
  RC_ASSERT(out.has_value());
  RC_ASSERT(out->sender == frame.sender);
  RC_ASSERT(out->messages == frame.messages);
}

RC_GTEST_PROP(PeerFrames, ChangedAnywhereGiveAFrameOrNoneAndNoHarm, ()) {
  Frame frame;
  frame.sender = "a";
  frame.messages = {*messages()};
  std::string body = body_of(frame);
  const size_t at = *rc::gen::inRange<size_t>(0, body.size());
  body[at] = *rc::gen::arbitrary<char>();
  read(body);
  read(body.substr(0, at));
}

TEST(PeerFrame, AnUnknownVersionIsRejectedWithAReason) {
  flatbuffers::FlatBufferBuilder b;
  const auto from = b.CreateString("a");
  b.Finish(wire::CreateFrame(b, kFrameVersion + 1, from, 1, 0));
  const char* why = "";
  EXPECT_FALSE(read({reinterpret_cast<const char*>(b.GetBufferPointer()), b.GetSize()}, &why));
  EXPECT_STREQ(why, "of another version");
}

TEST(PeerFrame, FieldsAndMessagesOfANewerProgramAreIgnored) {
  flatbuffers::FlatBufferBuilder b;
  const auto from = b.CreateString("a");
  const auto key = b.CreateString("k");
  std::vector<flatbuffers::Offset<wire::Message>> parts;
  {
    wire::MessageBuilder known(b);
    known.add_type(static_cast<uint8_t>(MessageType::kPrepare));
    known.add_key(key);
    b.AddElement<uint64_t>(4 + 2 * 40, 7, 0);  // a field that this program has not
    parts.push_back(known.Finish());
    wire::MessageBuilder unknown(b);
    unknown.add_type(200);
    parts.push_back(unknown.Finish());
  }
  const auto all = b.CreateVector(parts);
  b.Finish(wire::CreateFrame(b, kFrameVersion, from, 1, all));
  const auto frame = read({reinterpret_cast<const char*>(b.GetBufferPointer()), b.GetSize()});
  ASSERT_TRUE(frame);
  ASSERT_EQ(frame->messages.size(), 1u);
  EXPECT_EQ(frame->messages[0].key, "k");
}

}  // namespace
}  // namespace firvalve::cluster
