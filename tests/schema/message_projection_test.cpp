// Tests the validation of messages and their conversion between versions.
#include "schema/message_projection.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "schema/compatibility_rules.h"
#include "schema/schema_fixture.h"

namespace firvalve::schema {
namespace {

TEST(MessageProjection, MessageIsConvertedToTheReadersVersion) {
  Schema wide = cabin_schema();
  wide.fields[1].type = Type::kInt32;
  wide.fields.push_back(make_field(5, "view", Type::kText));
  Schema old = cabin_schema();
  old.fields[1].type = Type::kFloat64;  // published as an integer, read as a float
  old.fields[1].default_value = 2.0;
  const auto projection = plan_projection(wide, old, make_reader({1, 2, 3}));
  ASSERT_TRUE(projection);
  const auto out =
      project(*projection, old,
              {{1, std::string("river 4")}, {2, int64_t{3}}, {3, int64_t{1}}, {5, std::string("east")}});
  ASSERT_TRUE(out);
  EXPECT_EQ(std::get<double>(out->at(2)), 3.0);
  EXPECT_EQ(out->count(5), 0u);
  EXPECT_EQ(find_message_error(old, *out), "");
  const auto with_default = project(*projection, old, {{1, std::string("river 4")}, {3, int64_t{1}}});
  EXPECT_EQ(std::get<double>(with_default->at(2)), 2.0);
  EXPECT_FALSE(plan_projection(cabin_schema(), Schema{}, make_reader({1})));  // the key differs
}

TEST(MessageProjection, InvalidMessagesAreDetected) {
  const Schema schema = cabin_schema();
  EXPECT_EQ(find_message_error(schema, {{1, std::string("r")}, {3, int64_t{0}}}), "");
  EXPECT_NE(find_message_error(schema, {{3, int64_t{0}}}), "");
  EXPECT_NE(find_message_error(schema, {{1, std::string("r")}, {3, int64_t{9}}}), "");
  EXPECT_NE(find_message_error(schema, {{1, std::string("r")}, {3, int64_t{0}}, {2, int64_t{13}}}), "");
  EXPECT_NE(find_message_error(schema, {{1, std::string("r")}, {3, int64_t{0}}, {2, 1.5}}), "");
  EXPECT_NE(find_message_error(schema, {{1, std::string("r")}, {3, int64_t{0}}, {99, int64_t{1}}}), "");
  EXPECT_NE(find_message_error(schema, {{1, std::string("r")}, {3, int64_t{0}}, {4, std::nan("")}}), "");
}

RC_GTEST_PROP(MessageProjectionProperty, CompatibleMessagesCanBeProjectedAndAreValidForTheReader, ()) {
  const Schema to = random_schema(), from = random_variant(to);
  Declaration declaration = make_reader({});
  for (uint32_t number = 1; number <= 4; ++number)
    if (to.find(number) && *rc::gen::arbitrary<bool>()) declaration.reads.insert(number);
  const auto projection = plan_projection(from, to, declaration);
  RC_ASSERT(projection.has_value() == find_incompatibilities(from, to, declaration).empty());
  if (!projection) return;
  FieldValues message;
  for (const Field& field : from.fields) {
    const auto values = boundary_values(field);
    if (field.required || *rc::gen::arbitrary<bool>())
      message.emplace(
          field.number,
          values[static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(values.size())))]);
  }
  RC_PRE(find_message_error(from, message).empty());
  const auto out = project(*projection, to, message);
  if (!out) return;  // a required field of `to` that the reader does not read has no valid value
  for (const uint32_t number : declaration.reads) {
    const Field* const field = to.find(number);
    Schema single_field;
    single_field.fields = {*field};
    const auto value = out->find(number);
    RC_ASSERT(find_message_error(single_field,
                                 value == out->end() ? FieldValues{} : FieldValues{{number, value->second}})
                  .empty());
  }
}

}  // namespace
}  // namespace firvalve::schema
