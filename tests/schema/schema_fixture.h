// Schemas and readers that the tests of this package share.
#pragma once

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "schema/compatibility_checker.h"
#include "schema/schema.h"

namespace firvalve::schema {

inline Field field(uint32_t number, const std::string& name, Type type, bool required = false) {
  Field f;
  f.number = number;
  f.name = name;
  f.type = type;
  f.required = required;
  return f;
}

// Cabins: what a lodge's screens handle of.
inline Schema cabins() {
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

inline Declaration reader(std::set<uint32_t> reads, std::set<uint32_t> versions = {1}) {
  Declaration d;
  d.subscriber = "screen";
  d.site = "lodge";
  d.versions = std::move(versions);
  d.reads = std::move(reads);
  return d;
}

inline Topic standing(std::vector<Declaration> declarations = {reader({1, 2, 3, 4})}) {
  return {{{1, State::kLive, cabins()}}, std::move(declarations)};
}

template <class ChangeIt>
inline std::vector<std::string> rules(const Topic& topic, ChangeIt&& change) {
  Schema s = cabins();
  change(s);
  std::vector<std::string> out;
  for (const Violation& b : check_new_version(topic, s).violations) out.push_back(name_of(b.rule));
  return out;
}
using Rules = std::vector<std::string>;

// Small schemas over four fields, so that changes meet readers.
inline Field drawn_field(uint32_t number) {
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

inline Schema drawn_schema() {
  Schema s;
  for (uint32_t n = 1; n <= 4; ++n)
    if (*rc::gen::inRange(0, 5) > 0) s.fields.push_back(drawn_field(n));
  return s;
}

// Another that differs a little, so that some pairs get on.
inline Schema drawn_change(Schema s) {
  for (Field& f : s.fields)
    if (*rc::gen::inRange(0, 4) == 0) f = drawn_field(f.number);
  if (!s.fields.empty() && *rc::gen::inRange(0, 4) == 0) s.fields.pop_back();
  return s;
}

// Values that may come: the ends of what a field allows.
inline std::vector<Value> ends_of(const Field& f) {
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

}  // namespace firvalve::schema
