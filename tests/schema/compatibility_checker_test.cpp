#include "schema/compatibility_checker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>

#include "schema/compatibility_rules.h"
#include "schema/message_projection.h"
#include "schema/schema_fixture.h"

namespace firvalve::schema {
namespace {

TEST(Check, TheSameAndWhatNobodyReadsMayChange) {
  EXPECT_EQ(rules(standing(), [](Schema&) {}), Rules{});
  EXPECT_EQ(rules(standing({reader({1})}), [](Schema& s) { s.fields.erase(s.fields.begin() + 1); }), Rules{});
  EXPECT_EQ(rules(standing({}), [](Schema& s) { s.fields.pop_back(); }), Rules{});
  EXPECT_EQ(rules(standing(), [](Schema& s) { s.fields.push_back(field(5, "view", Type::kText)); }), Rules{});
}

TEST(Check, ARemovedFieldIsReportedWithItsReaders) {
  Schema s = cabins();
  s.fields.erase(s.fields.begin() + 1);
  Topic b = standing();
  b.declarations.push_back(reader({1, 2}));
  b.declarations.back().subscriber = "boat";
  b.declarations.push_back(reader({1}));
  b.declarations.back().subscriber = "desk";
  const Verdict v = check_new_version(b, s);
  ASSERT_EQ(v.violations.size(), 1u);
  EXPECT_EQ(v.violations[0].rule, Rule::kFieldRemoved);
  EXPECT_EQ(v.violations[0].field, 2u);
  ASSERT_EQ(v.violations[0].readers.size(), 2u);
  EXPECT_EQ(v.violations[0].readers[0].subscriber, "boat");
  EXPECT_EQ(v.violations[0].readers[1].subscriber, "screen");
  EXPECT_FALSE(v.violations[0].remedy.empty());
}

TEST(Check, EachRule) {
  using S = Schema;
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[1].name = "places"; }),
            (Rules{"number_reused", "taken_away"}));
  EXPECT_EQ(rules(standing({reader({1})}),
                  [](S& s) {
                    s.fields.push_back(field(9, "beds", Type::kInt32)), s.fields.erase(s.fields.begin() + 1);
                  }),
            Rules{"name_reused"});
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[2].required = false; }), Rules{"made_optional"});
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[2].required = false, s.fields[2].preset = int64_t{0}; }),
            Rules{});
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[1].type = Type::kText, s.fields[1].preset = {}; }),
            Rules{"type_narrowed"});
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[1].type = Type::kInt64; }),
            Rules{});  // its range is small enough
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[1].type = Type::kInt64, s.fields[1].most = 1e10; }),
            Rules{"type_narrowed"});
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[3].type = Type::kFloat64; }), Rules{"type_narrowed"});
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[3].unit = "dollars"; }), Rules{"unit_changed"});
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[1].most = 13; }), Rules{"range_widened"});
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[1].most = 11; }), Rules{});
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[2].choices[3] = "flooded"; }), Rules{"choice_added"});
  Declaration passes = reader({1, 2, 3, 4});
  passes.ignores_unknown_choices = true;
  EXPECT_EQ(rules(standing({passes}), [](S& s) { s.fields[2].choices[3] = "flooded"; }), Rules{});
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[2].choices[1] = "sold"; }),
            (Rules{"choice_reused", "choice_reused"}));
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[1].preset = int64_t{4}; }), Rules{});
  Declaration relying = reader({1, 2});
  relying.relies_on_presets = {2};
  EXPECT_EQ(rules(standing({relying}), [](S& s) { s.fields[1].preset = int64_t{4}; }),
            Rules{"preset_changed"});
  EXPECT_EQ(rules(standing(), [](S& s) { s.key = {1, 3}; }), Rules{"key_changed"});
  EXPECT_EQ(rules(standing(), [](S& s) { s.order = "key"; }), Rules{"order_changed"});
  EXPECT_EQ(rules(standing({}), [](S& s) { s.fields.push_back(field(5, "view", Type::kText, true)); }),
            Rules{"required_added"});
}

TEST(Check, AllViolationsAreReportedAtOnce) {
  EXPECT_EQ(rules(standing(),
                  [](Schema& s) {
                    s.fields[1].most = 20;
                    s.fields[3].unit = "dollars";
                    s.fields[2].choices[3] = "flooded";
                  }),
            (Rules{"unit_changed", "range_widened", "choice_added"}));
}

TEST(Check, OverSeveralVersionsAndNotOnlyTheLast) {
  // Version 2 left out the beds when nobody read them; a screen that still speaks 1 alone has come since.
  Topic b = standing({reader({1, 2}, {1})});
  Schema two = cabins();
  two.fields.erase(two.fields.begin() + 1);
  b.versions.push_back({2, State::kLive, two});
  Schema three = two;
  three.fields.push_back(field(5, "view", Type::kText));
  EXPECT_EQ(check_new_version(b, three).violations.at(0).rule, Rule::kFieldRemoved);
  // Nor may the number that was given up come back as something else.
  b.declarations.clear();
  three.fields.insert(three.fields.begin() + 1, field(2, "boats", Type::kInt32));
  EXPECT_EQ(check_new_version(b, three).violations.at(0).rule, Rule::kNumberReused);
  // Also not once every version that had it is gone.
  b.versions[0].state = State::kRetired;
  EXPECT_EQ(check_new_version(b, three).violations.at(0).rule, Rule::kNumberReused);
}

TEST(Check, OneVersionThatASubscriberSpeaksIsEnough) {
  Topic b = standing({reader({1, 5}, {1, 2})});
  Schema two = cabins();
  two.fields.push_back(field(5, "view", Type::kText));
  b.versions.push_back({2, State::kLive, two});
  Schema three = two;
  three.fields.erase(three.fields.begin() + 1);
  EXPECT_TRUE(check_new_version(b, three).is_compatible());
  three.fields.erase(three.fields.begin());
  EXPECT_FALSE(check_new_version(b, three).is_compatible());
}

TEST(Check, AVersionThatSomebodyNeedsIsNotRetired) {
  Topic b = standing({reader({1}, {1, 2}), reader({1}, {1})});
  b.declarations[1].subscriber = "old screen";
  b.versions.push_back({2, State::kLive, cabins()});
  const Verdict v = check_retirement(b, 1);
  ASSERT_EQ(v.violations.size(), 1u);
  ASSERT_EQ(v.violations[0].readers.size(), 1u);
  EXPECT_EQ(v.violations[0].readers[0].subscriber, "old screen");
  EXPECT_TRUE(check_retirement(b, 2).is_compatible());
  EXPECT_EQ(check_retirement(b, 3).violations.at(0).rule, Rule::kNoSuchVersion);
}

TEST(Check, ADeclarationMustBeOfWhatIsThereAndPublished) {
  EXPECT_TRUE(check_declaration(standing({}), reader({1, 2})).is_compatible());
  EXPECT_EQ(check_declaration(standing({}), reader({1}, {7})).violations.at(0).rule, Rule::kNoSuchVersion);
  EXPECT_EQ(check_declaration(standing({}), reader({1, 77})).violations.at(0).rule, Rule::kNoSuchField);
  Topic b = standing({});
  Schema two = cabins();
  two.fields[3].unit = "dollars";
  b.versions.push_back({2, State::kLive, two});
  EXPECT_EQ(check_declaration(b, reader({4}, {1})).violations.at(0).rule, Rule::kUnitChanged);
  EXPECT_TRUE(check_declaration(b, reader({1}, {1})).is_compatible());
  // A version that has not all that it reads is none that it can be served in.
  Schema three = cabins();
  three.fields.erase(three.fields.begin() + 1);
  b.versions[1].schema = three;
  EXPECT_EQ(check_declaration(b, reader({1, 2}, {1, 2})).violations.at(0).rule, Rule::kFieldRemoved);
  EXPECT_EQ(check_declaration(b, reader({1, 2}, {2})).violations.at(0).rule, Rule::kNoSuchField);
}

// The rules read plainly: every message that may come under `from`, field by field, is one that `to` allows,
// and means the same.
bool plainly_good(const Schema& from, const Schema& to, const Declaration& d) {
  if (from.key != to.key) return false;
  for (const Field& r : to.fields) {
    if (!d.reads.count(r.number)) continue;
    const Field* const w = from.find(r.number);
    if (!w) return false;
    if (r.required && !w->required && !w->preset) return false;
    if (w->unit != r.unit) return false;
    for (const Value& v : ends_of(*w)) {
      Schema one;
      one.fields = {r};
      one.fields[0].required = false;
      Value read = v;
      const bool real = r.type == Type::kFloat32 || r.type == Type::kFloat64;
      if (real && std::holds_alternative<int64_t>(v) && w->type != Type::kChoice) {
        const auto whole = std::get<int64_t>(v);
        const double as = r.type == Type::kFloat32 ? static_cast<double>(static_cast<float>(whole))
                                                   : static_cast<double>(whole);
        if (static_cast<int64_t>(as) != whole) return false;
        read = as;
      }
      if ((w->type == Type::kChoice) != (r.type == Type::kChoice)) return false;
      if (r.type == Type::kFloat32 && w->type == Type::kFloat64) return false;
      if (r.type == Type::kChoice && d.ignores_unknown_choices && !r.choices.count(std::get<int64_t>(v)))
        continue;
      if (!find_message_fault(one, {{r.number, read}}).empty()) return false;
    }
  }
  return true;
}

RC_GTEST_PROP(CheckProperty, AgreesWithAPlainReadingOfTheRules, ()) {
  const Schema to = drawn_schema(), from = drawn_change(to);
  Declaration d = reader({});
  for (uint32_t n = 1; n <= 4; ++n)
    if (to.find(n) && *rc::gen::arbitrary<bool>()) d.reads.insert(n);
  d.ignores_unknown_choices = *rc::gen::arbitrary<bool>();
  const bool good = find_incompatibilities(from, to, d).empty();
  RC_CLASSIFY(good, "compatible");
  // An int32 without a range as a float32: no end of it shows what an inner value loses. The checker is
  // right.
  RC_ASSERT(good == plainly_good(from, to, d));
}

RC_GTEST_PROP(CheckProperty, MoreDeclarationsRemoveNoViolationAndTheirOrderDoesNotMatter, ()) {
  Topic b;
  for (uint32_t v = 1; v <= 3; ++v)
    b.versions.push_back({v, State::kLive, v == 1 ? drawn_schema() : drawn_change(b.versions[0].schema)});
  for (int i = 0; i < 4; ++i) {
    Declaration d = reader({}, {1u + static_cast<uint32_t>(*rc::gen::inRange(0, 3))});
    d.subscriber = "s" + std::to_string(i);
    for (uint32_t n = 1; n <= 4; ++n)
      if (*rc::gen::arbitrary<bool>()) d.reads.insert(n);
    b.declarations.push_back(d);
  }
  const Schema proposed = drawn_change(b.versions[0].schema);
  const Verdict all = check_new_version(b, proposed);
  Topic other = b;
  std::reverse(other.declarations.begin(), other.declarations.end());
  RC_ASSERT(check_new_version(other, proposed).violations == all.violations);
  other = b;
  other.declarations.pop_back();
  for (const Violation& few : check_new_version(other, proposed).violations)
    RC_ASSERT(std::any_of(all.violations.begin(), all.violations.end(), [&](const Violation& more) {
      return more.rule == few.rule && more.field == few.field;
    }));
}

TEST(CheckSize, TwoHundredFieldsTwentyVersionsAThousandDeclarationsUnderTenMilliseconds) {
  Topic b;
  Schema s;
  for (uint32_t n = 1; n <= 200; ++n)
    s.fields.push_back(field(n, std::string("field").append(std::to_string(n)), Type::kInt32));
  for (uint32_t v = 1; v <= 20; ++v) b.versions.push_back({v, State::kLive, s});
  for (int i = 0; i < 1000; ++i) {
    Declaration d = reader({}, {1u + static_cast<uint32_t>(i) % 20});
    d.subscriber = std::string("s").append(std::to_string(10000 + i));
    for (uint32_t n = 1; n <= 200; n += 1 + static_cast<uint32_t>(i) % 7) d.reads.insert(n);
    b.declarations.push_back(d);
  }
  double best = 1e9;
  for (int i = 0; i < 5; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(check_new_version(b, s).is_compatible());
    best = std::min(
        best, std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count());
  }
  std::printf("a verdict over 200 fields, 20 versions, 1,000 declarations: %.2f ms\n", best);
}

}  // namespace
}  // namespace firvalve::schema
