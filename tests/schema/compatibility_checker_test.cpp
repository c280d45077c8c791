#include "schema/check.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>

#include "schema/registry.h"

namespace firvalve::schema {
namespace {

Field field(uint32_t number, const std::string& name, Type type, bool required = false) {
  Field f;
  f.number = number;
  f.name = name;
  f.type = type;
  f.required = required;
  return f;
}

// Cabins: what a lodge's screens handle of.
Schema cabins() {
  Schema s;
  s.fields = {field(1, "cabin", Type::kText, true), field(2, "beds", Type::kInt32),
              field(3, "state", Type::kChoice, true), field(4, "price", Type::kFloat32)};
  s.fields[1].least = 0;
  s.fields[1].most = 12;
  s.fields[1].preset = int64_t{2};
  s.fields[2].choices = {{0, "free"}, {1, "held"}, {2, "gone"}};
  s.fields[3].unit = "soles";
  s.key = {1};
  return s;
}

Declaration reader(std::set<uint32_t> reads, std::set<uint32_t> versions = {1}) {
  Declaration d;
  d.subscriber = "screen";
  d.site = "lodge";
  d.versions = std::move(versions);
  d.reads = std::move(reads);
  return d;
}

Topic standing(std::vector<Declaration> declarations = {reader({1, 2, 3, 4})}) {
  return {{{1, State::kLive, cabins()}}, std::move(declarations)};
}

template <class ChangeIt>
std::vector<std::string> rules(const Topic& bulletin, ChangeIt&& change) {
  Schema s = cabins();
  change(s);
  std::vector<std::string> out;
  for (const Violation& b : check_new(bulletin, s).breaches) out.push_back(name_of(b.rule));
  return out;
}
using Rules = std::vector<std::string>;

TEST(Check, TheSameAndWhatNobodyReadsMayChange) {
  EXPECT_EQ(rules(standing(), [](Schema&) {}), Rules{});
  EXPECT_EQ(rules(standing({reader({1})}), [](Schema& s) { s.fields.erase(s.fields.begin() + 1); }), Rules{});
  EXPECT_EQ(rules(standing({}), [](Schema& s) { s.fields.pop_back(); }), Rules{});
  EXPECT_EQ(rules(standing(), [](Schema& s) { s.fields.push_back(field(5, "view", Type::kText)); }), Rules{});
}

TEST(Check, AFieldTakenAwayIsToldWithWhomItBreaks) {
  Schema s = cabins();
  s.fields.erase(s.fields.begin() + 1);
  Topic b = standing();
  b.declarations.push_back(reader({1, 2}));
  b.declarations.back().subscriber = "boat";
  b.declarations.push_back(reader({1}));
  b.declarations.back().subscriber = "desk";
  const Verdict v = check_new(b, s);
  ASSERT_EQ(v.breaches.size(), 1u);
  EXPECT_EQ(v.breaches[0].rule, Rule::kTakenAway);
  EXPECT_EQ(v.breaches[0].field, 2u);
  ASSERT_EQ(v.breaches[0].readers.size(), 2u);
  EXPECT_EQ(v.breaches[0].readers[0].subscriber, "boat");
  EXPECT_EQ(v.breaches[0].readers[1].subscriber, "screen");
  EXPECT_FALSE(v.breaches[0].way_out.empty());
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
  passes.passes_unknown = true;
  EXPECT_EQ(rules(standing({passes}), [](S& s) { s.fields[2].choices[3] = "flooded"; }), Rules{});
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[2].choices[1] = "sold"; }),
            (Rules{"choice_reused", "choice_reused"}));
  EXPECT_EQ(rules(standing(), [](S& s) { s.fields[1].preset = int64_t{4}; }), Rules{});
  Declaration leans = reader({1, 2});
  leans.leans = {2};
  EXPECT_EQ(rules(standing({leans}), [](S& s) { s.fields[1].preset = int64_t{4}; }), Rules{"preset_changed"});
  EXPECT_EQ(rules(standing(), [](S& s) { s.key = {1, 3}; }), Rules{"key_changed"});
  EXPECT_EQ(rules(standing(), [](S& s) { s.order = "key"; }), Rules{"order_changed"});
  EXPECT_EQ(rules(standing({}), [](S& s) { s.fields.push_back(field(5, "view", Type::kText, true)); }),
            Rules{"required_added"});
}

TEST(Check, AllBreachesAreToldAtOnce) {
  EXPECT_EQ(rules(standing(),
                  [](Schema& s) {
                    s.fields[1].most = 20;
                    s.fields[3].unit = "dollars";
                    s.fields[2].choices[3] = "flooded";
                  }),
            (Rules{"unit_changed", "range_widened", "choice_added"}));
}

TEST(Check, WhatASchemaSaysOfItselfHasToFit) {
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

TEST(Check, OverSeveralVersionsAndNotOnlyTheLast) {
  // Version 2 left out the beds when nobody read them; a screen that still speaks 1 alone has come since.
  Topic b = standing({reader({1, 2}, {1})});
  Schema two = cabins();
  two.fields.erase(two.fields.begin() + 1);
  b.versions.push_back({2, State::kLive, two});
  Schema three = two;
  three.fields.push_back(field(5, "view", Type::kText));
  EXPECT_EQ(check_new(b, three).breaches.at(0).rule, Rule::kTakenAway);
  // Nor may the number that was given up come back as something else.
  b.declarations.clear();
  three.fields.insert(three.fields.begin() + 1, field(2, "boats", Type::kInt32));
  EXPECT_EQ(check_new(b, three).breaches.at(0).rule, Rule::kNumberReused);
  // Also not once every version that had it is gone.
  b.versions[0].state = State::kGone;
  EXPECT_EQ(check_new(b, three).breaches.at(0).rule, Rule::kNumberReused);
}

TEST(Check, OneVersionThatASubscriberSpeaksIsEnough) {
  Topic b = standing({reader({1, 5}, {1, 2})});
  Schema two = cabins();
  two.fields.push_back(field(5, "view", Type::kText));
  b.versions.push_back({2, State::kLive, two});
  Schema three = two;
  three.fields.erase(three.fields.begin() + 1);
  EXPECT_TRUE(check_new(b, three).good());
  three.fields.erase(three.fields.begin());
  EXPECT_FALSE(check_new(b, three).good());
}

TEST(Check, AVersionThatSomebodyNeedsStays) {
  Topic b = standing({reader({1}, {1, 2}), reader({1}, {1})});
  b.declarations[1].subscriber = "old screen";
  b.versions.push_back({2, State::kLive, cabins()});
  const Verdict v = check_retire(b, 1);
  ASSERT_EQ(v.breaches.size(), 1u);
  ASSERT_EQ(v.breaches[0].readers.size(), 1u);
  EXPECT_EQ(v.breaches[0].readers[0].subscriber, "old screen");
  EXPECT_TRUE(check_retire(b, 2).good());
  EXPECT_EQ(check_retire(b, 3).breaches.at(0).rule, Rule::kNoSuchVersion);
}

TEST(Check, ADeclarationMustBeOfWhatIsThereAndPublished) {
  EXPECT_TRUE(check_declaration(standing({}), reader({1, 2})).good());
  EXPECT_EQ(check_declaration(standing({}), reader({1}, {7})).breaches.at(0).rule, Rule::kNoSuchVersion);
  EXPECT_EQ(check_declaration(standing({}), reader({1, 77})).breaches.at(0).rule, Rule::kNoSuchField);
  Topic b = standing({});
  Schema two = cabins();
  two.fields[3].unit = "dollars";
  b.versions.push_back({2, State::kLive, two});
  EXPECT_EQ(check_declaration(b, reader({4}, {1})).breaches.at(0).rule, Rule::kUnitChanged);
  EXPECT_TRUE(check_declaration(b, reader({1}, {1})).good());
  // A version that has not all that it reads is none that it can be served in.
  Schema three = cabins();
  three.fields.erase(three.fields.begin() + 1);
  b.versions[1].schema = three;
  EXPECT_EQ(check_declaration(b, reader({1, 2}, {1, 2})).breaches.at(0).rule, Rule::kTakenAway);
  EXPECT_EQ(check_declaration(b, reader({1, 2}, {2})).breaches.at(0).rule, Rule::kNoSuchField);
}

TEST(Check, ProjectionsGiveEachItsVersion) {
  Schema wide = cabins();
  wide.fields[1].type = Type::kInt32;
  wide.fields.push_back(field(5, "view", Type::kText));
  Schema old = cabins();
  old.fields[1].type = Type::kFloat64;  // what it reads as a fraction comes whole
  old.fields[1].preset = 2.0;
  const auto p = projection(wide, old, reader({1, 2, 3}));
  ASSERT_TRUE(p);
  const auto out = project(
      *p, old, {{1, std::string("river 4")}, {2, int64_t{3}}, {3, int64_t{1}}, {5, std::string("east")}});
  ASSERT_TRUE(out);
  EXPECT_EQ(std::get<double>(out->at(2)), 3.0);
  EXPECT_EQ(out->count(5), 0u);
  EXPECT_EQ(fault_of(old, *out), "");
  const auto preset = project(*p, old, {{1, std::string("river 4")}, {3, int64_t{1}}});
  EXPECT_EQ(std::get<double>(preset->at(2)), 2.0);
  EXPECT_FALSE(projection(cabins(), Schema{}, reader({1})));  // another key
}

TEST(Check, NoticesAreHeldAgainstTheirSchema) {
  const Schema s = cabins();
  EXPECT_EQ(fault_of(s, {{1, std::string("r")}, {3, int64_t{0}}}), "");
  EXPECT_NE(fault_of(s, {{3, int64_t{0}}}), "");
  EXPECT_NE(fault_of(s, {{1, std::string("r")}, {3, int64_t{9}}}), "");
  EXPECT_NE(fault_of(s, {{1, std::string("r")}, {3, int64_t{0}}, {2, int64_t{13}}}), "");
  EXPECT_NE(fault_of(s, {{1, std::string("r")}, {3, int64_t{0}}, {2, 1.5}}), "");
  EXPECT_NE(fault_of(s, {{1, std::string("r")}, {3, int64_t{0}}, {99, int64_t{1}}}), "");
  EXPECT_NE(fault_of(s, {{1, std::string("r")}, {3, int64_t{0}}, {4, std::nan("")}}), "");
}

// Small schemas over four fields, so that changes meet readers.
Field drawn_field(uint32_t number) {
  Field f = field(number, "f" + std::to_string(number), static_cast<Type>(*rc::gen::inRange(0, 7)),
                  *rc::gen::arbitrary<bool>());
  if (f.type == Type::kChoice) {
    for (int64_t c = 0; c < 3; ++c)
      if (c == 0 || *rc::gen::arbitrary<bool>()) f.choices[c] = "c" + std::to_string(c);
  } else if (f.type != Type::kBool) {
    if (*rc::gen::arbitrary<bool>()) f.least = *rc::gen::inRange(0, 3);
    if (*rc::gen::arbitrary<bool>()) f.most = *rc::gen::inRange(4, 8);
  }
  if (f.type != Type::kText && f.type != Type::kBool && f.type != Type::kChoice &&
      *rc::gen::arbitrary<bool>())
    f.unit = "m";
  return f;
}

Schema drawn_schema() {
  Schema s;
  for (uint32_t n = 1; n <= 4; ++n)
    if (*rc::gen::inRange(0, 5) > 0) s.fields.push_back(drawn_field(n));
  return s;
}

// Another that differs a little, so that some pairs get on.
Schema drawn_change(Schema s) {
  for (Field& f : s.fields)
    if (*rc::gen::inRange(0, 4) == 0) f = drawn_field(f.number);
  if (!s.fields.empty() && *rc::gen::inRange(0, 4) == 0) s.fields.pop_back();
  return s;
}

// Values that may come: the ends of what a field allows.
std::vector<Value> ends_of(const Field& f) {
  const double least = f.least.value_or(f.type == Type::kText ? 0 : -3e9),
               most = f.most.value_or(f.type == Type::kText ? 300 : 3e9);
  switch (f.type) {
    case Type::kBool:
      return {false, true};
    case Type::kText:
      return {std::string(static_cast<size_t>(least), 'x'), std::string(static_cast<size_t>(most), 'x')};
    case Type::kChoice: {
      std::vector<Value> all;
      for (const auto& [value, name] : f.choices) all.push_back(value);
      return all;
    }
    case Type::kInt32:
      return {static_cast<int64_t>(std::max(least, -2147483648.0)),
              static_cast<int64_t>(std::min(most, 2147483647.0))};
    case Type::kInt64:
      return {static_cast<int64_t>(least), static_cast<int64_t>(most)};
    default:
      return {least, most, least + (most - least) / 3};
  }
}

// The rules read plainly: every notice that may come under `from`, field by field, is one that `to` allows,
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
      if (r.type == Type::kChoice && d.passes_unknown && !r.choices.count(std::get<int64_t>(v))) continue;
      if (!fault_of(one, {{r.number, read}}).empty()) return false;
    }
  }
  return true;
}

RC_GTEST_PROP(CheckProperty, AgreesWithAPlainReadingOfTheRules, ()) {
  const Schema to = drawn_schema(), from = drawn_change(to);
  Declaration d = reader({});
  for (uint32_t n = 1; n <= 4; ++n)
    if (to.find(n) && *rc::gen::arbitrary<bool>()) d.reads.insert(n);
  d.passes_unknown = *rc::gen::arbitrary<bool>();
  const bool good = between(from, to, d).empty();
  RC_CLASSIFY(good, "compatible");
  // An int32 without a range as a float32: no end of it shows what an inner value loses. The checker is
  // right.
  RC_ASSERT(good == plainly_good(from, to, d));
}

RC_GTEST_PROP(CheckProperty, WhatIsAllowedCanBeProjectedAndIsGoodForItsReader, ()) {
  const Schema to = drawn_schema(), from = drawn_change(to);
  Declaration d = reader({});
  for (uint32_t n = 1; n <= 4; ++n)
    if (to.find(n) && *rc::gen::arbitrary<bool>()) d.reads.insert(n);
  const auto p = projection(from, to, d);
  RC_ASSERT(p.has_value() == between(from, to, d).empty());
  if (!p) return;
  Content notice;
  for (const Field& f : from.fields) {
    const auto values = ends_of(f);
    if (f.required || *rc::gen::arbitrary<bool>())
      notice.emplace(f.number,
                     values[static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(values.size())))]);
  }
  RC_PRE(fault_of(from, notice).empty());
  const auto out = project(*p, to, notice);
  if (!out) return;  // a field that it does not read cannot be told
  for (const uint32_t n : d.reads) {
    const Field* const f = to.find(n);
    Schema one;
    one.fields = {*f};
    const auto at = out->find(n);
    RC_ASSERT(fault_of(one, at == out->end() ? Content{} : Content{{n, at->second}}).empty());
  }
}

RC_GTEST_PROP(CheckProperty, MoreDeclarationsTakeNoBreachAwayAndTheirOrderDoesNotMatter, ()) {
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
  const Verdict all = check_new(b, proposed);
  Topic other = b;
  std::reverse(other.declarations.begin(), other.declarations.end());
  RC_ASSERT(check_new(other, proposed).breaches == all.breaches);
  other = b;
  other.declarations.pop_back();
  for (const Violation& few : check_new(other, proposed).breaches)
    RC_ASSERT(std::any_of(all.breaches.begin(), all.breaches.end(), [&](const Violation& more) {
      return more.rule == few.rule && more.field == few.field;
    }));
}

RC_GTEST_PROP(SchemaText, BulletinsComeOutAsTheyWentIn, ()) {
  Topic b;
  for (uint32_t v = 1; v <= 2; ++v)
    b.versions.push_back({v, static_cast<State>(*rc::gen::inRange(0, 3)), drawn_schema()});
  Declaration d = reader({1, 3}, {1, 2});
  d.leans = {3};
  d.passes_unknown = *rc::gen::arbitrary<bool>();
  d.holds_ms = *rc::gen::arbitrary<uint32_t>();
  b.declarations = {d};
  std::string why;
  const auto out = read_bulletin(written(b), why);
  RC_ASSERT(out.has_value());
  RC_ASSERT(*out == b);
}

TEST(SchemaTextTest, FaultsAreToldWithTheirPlace) {
  std::string why;
  EXPECT_FALSE(read_schema("{", why));
  EXPECT_EQ(why, "is no JSON");
  EXPECT_FALSE(read_schema(R"({"fields": [{"number": 1, "name": "a"}, {"number": -1, "name": "b"}]})", why));
  EXPECT_EQ(why, "fields[1].number is no number from 0 up");
  EXPECT_FALSE(read_schema(R"({"fields": [{"number": 1}]})", why));
  EXPECT_EQ(why, "fields[0].name is missing");
  EXPECT_FALSE(read_schema(R"({"fields": [{"number": 1, "name": "a", "type": "number"}]})", why));
  EXPECT_EQ(why, "fields[0].type is none of the words that it may be");
  EXPECT_FALSE(
      read_schema(R"({"fields": [{"number": 1, "name": "a", "type": "int32", "preset": "x"}]})", why));
  EXPECT_FALSE(read_declaration(R"({"versions": [1]})", why));
  EXPECT_EQ(why, "subscriber is missing");
}

TEST(CheckSize, TwoHundredFieldsTwentyVersionsAThousandDeclarationsUnderTenMilliseconds) {
  Topic b;
  Schema s;
  for (uint32_t n = 1; n <= 200; ++n) s.fields.push_back(field(n, "field" + std::to_string(n), Type::kInt32));
  for (uint32_t v = 1; v <= 20; ++v) b.versions.push_back({v, State::kLive, s});
  for (int i = 0; i < 1000; ++i) {
    Declaration d = reader({}, {1u + static_cast<uint32_t>(i) % 20});
    d.subscriber = "s" + std::to_string(10000 + i);
    for (uint32_t n = 1; n <= 200; n += 1 + static_cast<uint32_t>(i) % 7) d.reads.insert(n);
    b.declarations.push_back(d);
  }
  double best = 1e9;
  for (int i = 0; i < 5; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(check_new(b, s).good());
    best = std::min(
        best, std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count());
  }
  std::printf("a verdict over 200 fields, 20 versions, 1,000 declarations: %.2f ms\n", best);
}

}  // namespace
}  // namespace firvalve::schema
