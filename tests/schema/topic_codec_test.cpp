#include "schema/topic_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "schema/schema_fixture.h"

namespace firvalve::schema {
namespace {

RC_GTEST_PROP(TopicCodec, TopicsComeOutAsTheyWentIn, ()) {
  Topic b;
  for (uint32_t v = 1; v <= 2; ++v)
    b.versions.push_back({v, static_cast<State>(*rc::gen::inRange(0, 3)), drawn_schema()});
  Declaration d = reader({1, 3}, {1, 2});
  d.relies_on_presets = {3};
  d.ignores_unknown_choices = *rc::gen::arbitrary<bool>();
  d.expires_after_ms = *rc::gen::arbitrary<uint32_t>();
  b.declarations = {d};
  std::string why;
  const auto out = decode_topic(encode(b), why);
  RC_ASSERT(out.has_value());
  RC_ASSERT(*out == b);
}

TEST(TopicCodec, FaultsAreReportedWithTheirPlace) {
  std::string why;
  EXPECT_FALSE(decode_schema("{", why));
  EXPECT_EQ(why, "is no JSON");
  EXPECT_FALSE(
      decode_schema(R"({"fields": [{"number": 1, "name": "a"}, {"number": -1, "name": "b"}]})", why));
  EXPECT_EQ(why, "fields[1].number is no number from 0 up");
  EXPECT_FALSE(decode_schema(R"({"fields": [{"number": 1}]})", why));
  EXPECT_EQ(why, "fields[0].name is missing");
  EXPECT_FALSE(decode_schema(R"({"fields": [{"number": 1, "name": "a", "type": "number"}]})", why));
  EXPECT_EQ(why, "fields[0].type is none of the words that it may be");
  EXPECT_FALSE(
      decode_schema(R"({"fields": [{"number": 1, "name": "a", "type": "int32", "preset": "x"}]})", why));
  EXPECT_FALSE(decode_declaration(R"({"versions": [1]})", why));
  EXPECT_EQ(why, "subscriber is missing");
}

}  // namespace
}  // namespace firvalve::schema
