#include <gtest/gtest.h>

#include "schema/schema_fixture.h"

namespace firvalve::schema {
namespace {

TEST(SchemaValidation, ASchemaMustNotContradictItself) {
  using S = Schema;
  const Topic none;
  EXPECT_EQ(rules(none, [](S& s) { s.fields[1].number = 1; }), Rules{"malformed"});
  EXPECT_EQ(rules(none, [](S& s) { s.fields[1].name = "cabin"; }), Rules{"malformed"});
  EXPECT_EQ(rules(none, [](S& s) { s.fields[2].choices.clear(); }), Rules{"malformed"});
  EXPECT_EQ(rules(none, [](S& s) { s.fields[1].preset = int64_t{13}; }), Rules{"malformed"});
  EXPECT_EQ(rules(none, [](S& s) { s.fields[1].least = 13; }).size(), 2u);
  EXPECT_EQ(rules(none, [](S& s) { s.key = {2}; }), Rules{"malformed"});
  EXPECT_EQ(rules(none, [](S& s) { s.key = {7}; }), Rules{"malformed"});
  EXPECT_EQ(rules(none, [](S& s) { s.order = "none"; }), Rules{"malformed"});
  EXPECT_EQ(rules(none, [](S& s) { s.fields[0].unit = "m"; }), Rules{"malformed"});
}

}  // namespace
}  // namespace firvalve::schema
