// Tests that invalid schemas are rejected.
#include <gtest/gtest.h>

#include "schema/schema_fixture.h"

namespace firvalve::schema {
namespace {

TEST(SchemaValidation, InvalidSchemasAreMalformed) {
  const Topic empty_topic;
  EXPECT_EQ(violated_rules(empty_topic, [](Schema& schema) { schema.fields[1].number = 1; }),
            RuleNames{"malformed"});
  EXPECT_EQ(violated_rules(empty_topic, [](Schema& schema) { schema.fields[1].name = "cabin"; }),
            RuleNames{"malformed"});
  EXPECT_EQ(violated_rules(empty_topic, [](Schema& schema) { schema.fields[2].choices.clear(); }),
            RuleNames{"malformed"});
  EXPECT_EQ(violated_rules(empty_topic, [](Schema& schema) { schema.fields[1].default_value = int64_t{13}; }),
            RuleNames{"malformed"});
  EXPECT_EQ(violated_rules(empty_topic, [](Schema& schema) { schema.fields[1].min = 13; }).size(), 2u);
  EXPECT_EQ(violated_rules(empty_topic, [](Schema& schema) { schema.key = {2}; }), RuleNames{"malformed"});
  EXPECT_EQ(violated_rules(empty_topic, [](Schema& schema) { schema.key = {7}; }), RuleNames{"malformed"});
  EXPECT_EQ(violated_rules(empty_topic, [](Schema& schema) { schema.order = "none"; }),
            RuleNames{"malformed"});
  EXPECT_EQ(violated_rules(empty_topic, [](Schema& schema) { schema.fields[0].unit = "m"; }),
            RuleNames{"malformed"});
}

}  // namespace
}  // namespace firvalve::schema
