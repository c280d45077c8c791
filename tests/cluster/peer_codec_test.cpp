// Tests of the encoding of frames between gateways, including invalid and newer frames.
#include "cluster/peer_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "peers_generated.h"

namespace firvalve::cluster {
namespace {

using consensus::Message;
using consensus::MessageType;

std::optional<Frame> decode(const std::string& bytes, const char** reason = nullptr) {
  const char* why = "";
  auto frame = read_frame({bytes.data(), bytes.size()}, why);
  if (reason) *reason = why;
  return frame;
}

std::string encode_body(const Frame& frame) {
  std::string out;
  append_frame(out, frame);
  return out.substr(out.find("\r\n\r\n") + 4);
}

rc::Gen<Message> arbitrary_message() {
  const auto make_string = [] { return *rc::gen::container<std::string>(rc::gen::arbitrary<char>()); };
  const auto make_number = [] { return *rc::gen::arbitrary<uint64_t>(); };
  return rc::gen::exec([=] {
    const auto make_register = [&] {
      consensus::Register state;
      state.version = make_number();
      state.change_id = make_number();
      state.earlier_changes = *rc::gen::arbitrary<std::vector<uint64_t>>();
      state.value = make_string();
      state.is_urgent = make_number() % 2;
      return state;
    };
    Message message;
    message.type = static_cast<MessageType>(*rc::gen::inRange(1, 12));
    message.request_id = make_number();
    message.key = make_string();
    message.ballot = {make_number(), make_number()};
    message.accepted_ballot = {make_number(), make_number()};
    message.register_state = make_register();
    message.incarnation = make_number();
    message.known_incarnations = *rc::gen::arbitrary<std::vector<uint64_t>>();
    message.bootstrap_incarnations = *rc::gen::arbitrary<std::vector<uint64_t>>();
    message.since = make_number();
    (message.type == MessageType::kRejected ? message.is_out_of_space : message.is_voting) =
        make_number() % 2;
    message.has_more = make_number() % 2;
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
      message.entries.emplace_back(make_string(), consensus::AcceptorSlot{{make_number(), make_number()},
                                                                          {make_number(), make_number()},
                                                                          make_register()});
    return message;
  });
}

RC_GTEST_PROP(PeerFrames, EncodingAndDecodingRoundTrips, ()) {
  Frame frame;
  frame.sender = "127.0.0.1:7000";
  frame.replicas_hash = 99;
  frame.messages = *rc::gen::container<std::vector<Message>>(arbitrary_message());
  const auto out = decode(encode_body(frame));
  RC_ASSERT(out.has_value());
  RC_ASSERT(out->sender == frame.sender);
  RC_ASSERT(out->messages == frame.messages);
}

RC_GTEST_PROP(PeerFrames, DecodingCorruptedOrTruncatedBytesIsSafe, ()) {
  Frame frame;
  frame.sender = "a";
  frame.messages = {*arbitrary_message()};
  std::string body = encode_body(frame);
  const size_t at = *rc::gen::inRange<size_t>(0, body.size());
  body[at] = *rc::gen::arbitrary<char>();
  decode(body);
  decode(body.substr(0, at));
}

TEST(PeerFrame, RejectsAnUnknownVersionWithAReason) {
  flatbuffers::FlatBufferBuilder builder;
  const auto sender = builder.CreateString("a");
  builder.Finish(wire::CreateFrame(builder, kFrameVersion + 1, sender, 1, 0));
  const char* why = "";
  EXPECT_FALSE(decode({reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()}, &why));
  EXPECT_STREQ(why, "of another version");
}

TEST(PeerFrame, IgnoresUnknownFieldsAndMessageTypes) {
  flatbuffers::FlatBufferBuilder builder;
  const auto sender = builder.CreateString("a");
  const auto key = builder.CreateString("k");
  std::vector<flatbuffers::Offset<wire::Message>> messages;
  {
    wire::MessageBuilder known(builder);
    known.add_type(static_cast<uint8_t>(MessageType::kPrepare));
    known.add_key(key);
    builder.AddElement<uint64_t>(4 + 2 * 40, 7, 0);  // a field that this version does not know
    messages.push_back(known.Finish());
    wire::MessageBuilder unknown(builder);
    unknown.add_type(200);
    messages.push_back(unknown.Finish());
  }
  const auto encoded_messages = builder.CreateVector(messages);
  builder.Finish(wire::CreateFrame(builder, kFrameVersion, sender, 1, encoded_messages));
  const auto frame = decode({reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()});
  ASSERT_TRUE(frame);
  ASSERT_EQ(frame->messages.size(), 1u);
  EXPECT_EQ(frame->messages[0].key, "k");
}

}  // namespace
}  // namespace firvalve::cluster
