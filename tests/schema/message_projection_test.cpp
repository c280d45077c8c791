#include "schema/message_projection.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "schema/compatibility_rules.h"
#include "schema/schema_fixture.h"

namespace firvalve::schema {
namespace {

TEST(MessageProjection, ProjectionsGiveEachItsVersion) {
  Schema wide = cabins();
  wide.fields[1].type = Type::kInt32;
  wide.fields.push_back(field(5, "view", Type::kText));
  Schema old = cabins();
  old.fields[1].type = Type::kFloat64;  // what it reads as a fraction comes whole
  old.fields[1].preset = 2.0;
  const auto p = plan_projection(wide, old, reader({1, 2, 3}));
  ASSERT_TRUE(p);
  const auto out = project(
      *p, old, {{1, std::string("river 4")}, {2, int64_t{3}}, {3, int64_t{1}}, {5, std::string("east")}});
  ASSERT_TRUE(out);
  EXPECT_EQ(std::get<double>(out->at(2)), 3.0);
  EXPECT_EQ(out->count(5), 0u);
  EXPECT_EQ(find_message_fault(old, *out), "");
  const auto preset = project(*p, old, {{1, std::string("river 4")}, {3, int64_t{1}}});
  EXPECT_EQ(std::get<double>(preset->at(2)), 2.0);
  EXPECT_FALSE(plan_projection(cabins(), Schema{}, reader({1})));  // another key
}

TEST(MessageProjection, MessagesAreCheckedAgainstTheirSchema) {
  const Schema s = cabins();
  EXPECT_EQ(find_message_fault(s, {{1, std::string("r")}, {3, int64_t{0}}}), "");
  EXPECT_NE(find_message_fault(s, {{3, int64_t{0}}}), "");
  EXPECT_NE(find_message_fault(s, {{1, std::string("r")}, {3, int64_t{9}}}), "");
  EXPECT_NE(find_message_fault(s, {{1, std::string("r")}, {3, int64_t{0}}, {2, int64_t{13}}}), "");
  EXPECT_NE(find_message_fault(s, {{1, std::string("r")}, {3, int64_t{0}}, {2, 1.5}}), "");
  EXPECT_NE(find_message_fault(s, {{1, std::string("r")}, {3, int64_t{0}}, {99, int64_t{1}}}), "");
  EXPECT_NE(find_message_fault(s, {{1, std::string("r")}, {3, int64_t{0}}, {4, std::nan("")}}), "");
}

RC_GTEST_PROP(MessageProjectionProperty, WhatIsAllowedCanBeProjectedAndIsValidForItsReader, ()) {
  const Schema to = drawn_schema(), from = drawn_change(to);
  Declaration d = reader({});
  for (uint32_t n = 1; n <= 4; ++n)
    if (to.find(n) && *rc::gen::arbitrary<bool>()) d.reads.insert(n);
  const auto p = plan_projection(from, to, d);
  RC_ASSERT(p.has_value() == find_incompatibilities(from, to, d).empty());
  if (!p) return;
  Content message;
  for (const Field& f : from.fields) {
    const auto values = ends_of(f);
    if (f.required || *rc::gen::arbitrary<bool>())
      message.emplace(
          f.number, values[static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(values.size())))]);
  }
  RC_PRE(find_message_fault(from, message).empty());
  const auto out = project(*p, to, message);
  if (!out) return;  // a field that it does not read cannot be told
  for (const uint32_t n : d.reads) {
    const Field* const f = to.find(n);
    Schema one;
    one.fields = {*f};
    const auto at = out->find(n);
    RC_ASSERT(find_message_fault(one, at == out->end() ? Content{} : Content{{n, at->second}}).empty());
  }
}

}  // namespace
}  // namespace firvalve::schema
