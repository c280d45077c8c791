// Tests the JSON encoding of topics and the errors of the decoders.
#include "schema/topic_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "schema/schema_fixture.h"

namespace firvalve::schema {
namespace {

RC_GTEST_PROP(TopicCodec, EncodedTopicsDecodeToTheSameTopic, ()) {
  Topic topic;
  for (uint32_t version = 1; version <= 2; ++version)
    topic.versions.push_back({version, static_cast<State>(*rc::gen::inRange(0, 3)), random_schema()});
  Declaration declaration = make_reader({1, 3}, {1, 2});
  declaration.relies_on_defaults = {3};
  declaration.ignores_unknown_choices = *rc::gen::arbitrary<bool>();
  declaration.expires_after_ms = *rc::gen::arbitrary<uint32_t>();
  topic.declarations = {declaration};
  std::string error;
  const auto out = decode_topic(encode(topic), error);
  RC_ASSERT(out.has_value());
  RC_ASSERT(*out == topic);
}

TEST(TopicCodec, ErrorsNameThePathOfTheInvalidMember) {
  std::string error;
  EXPECT_FALSE(decode_schema("{", error));
  EXPECT_EQ(error, "is no JSON");
  EXPECT_FALSE(
      decode_schema(R"({"fields": [{"number": 1, "name": "a"}, {"number": -1, "name": "b"}]})", error));
  EXPECT_EQ(error, "fields[1].number is no number from 0 up");
  EXPECT_FALSE(decode_schema(R"({"fields": [{"number": 1}]})", error));
  EXPECT_EQ(error, "fields[0].name is missing");
  EXPECT_FALSE(decode_schema(R"({"fields": [{"number": 1, "name": "a", "type": "number"}]})", error));
  EXPECT_EQ(error, "fields[0].type is none of the words that it may be");
  EXPECT_FALSE(
      decode_schema(R"({"fields": [{"number": 1, "name": "a", "type": "int32", "preset": "x"}]})", error));
  EXPECT_FALSE(decode_declaration(R"({"versions": [1]})", error));
  EXPECT_EQ(error, "subscriber is missing");
}

}  // namespace
}  // namespace firvalve::schema
