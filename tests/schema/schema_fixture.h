// Schemas, declarations and random generators shared by the tests of this package.
#pragma once

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "schema/compatibility_checker.h"
#include "schema/schema.h"

namespace firvalve::schema {

inline Field make_field(uint32_t number, const std::string& name, Type type, bool required = false) {
  Field field;
  field.number = number;
  field.name = name;
  field.type = type;
  field.required = required;
  return field;
}

// An example schema: the cabins of a lodge, with a field of each relevant type.
inline Schema cabin_schema() {
  Schema schema;
  schema.fields = {make_field(1, "cabin", Type::kText, true), make_field(2, "beds", Type::kInt32),
                   make_field(3, "state", Type::kChoice, true), make_field(4, "price", Type::kFloat32)};
  schema.fields[1].min = 0;
  schema.fields[1].max = 12;
  schema.fields[1].default_value = int64_t{2};
  schema.fields[2].choices = {{0, "free"}, {1, "held"}, {2, "gone"}};
  schema.fields[3].unit = "soles";
  schema.key = {1};
  return schema;
}

inline Declaration make_reader(std::set<uint32_t> reads, std::set<uint32_t> versions = {1}) {
  Declaration declaration;
  declaration.subscriber = "screen";
  declaration.site = "lodge";
  declaration.versions = std::move(versions);
  declaration.reads = std::move(reads);
  return declaration;
}

// A topic whose only version is cabin_schema().
inline Topic topic_with(std::vector<Declaration> declarations = {make_reader({1, 2, 3, 4})}) {
  return {{{1, State::kLive, cabin_schema()}}, std::move(declarations)};
}

// Returns the names of the rules that the modified cabin_schema() violates as a new version of the topic.
template <class Modify>
inline std::vector<std::string> violated_rules(const Topic& topic, Modify&& modify) {
  Schema schema = cabin_schema();
  modify(schema);
  std::vector<std::string> out;
  for (const Violation& violation : check_new_version(topic, schema).violations)
    out.push_back(name_of(violation.rule));
  return out;
}
using RuleNames = std::vector<std::string>;

// Random schemas have at most four fields, so that random changes often affect fields that are read.
inline Field random_field(uint32_t number) {
  Field field = make_field(number, "f" + std::to_string(number), static_cast<Type>(*rc::gen::inRange(0, 7)),
                           *rc::gen::arbitrary<bool>());
  if (field.type == Type::kChoice) {
    for (int64_t c = 0; c < 3; ++c)
      if (c == 0 || *rc::gen::arbitrary<bool>()) field.choices[c] = "c" + std::to_string(c);
  } else if (field.type != Type::kBool) {
    if (*rc::gen::arbitrary<bool>()) field.min = *rc::gen::inRange(0, 3);
    if (*rc::gen::arbitrary<bool>()) field.max = *rc::gen::inRange(4, 8);
  }
  if (field.type != Type::kText && field.type != Type::kBool && field.type != Type::kChoice &&
      *rc::gen::arbitrary<bool>())
    field.unit = "m";
  return field;
}

inline Schema random_schema() {
  Schema schema;
  for (uint32_t number = 1; number <= 4; ++number)
    if (*rc::gen::inRange(0, 5) > 0) schema.fields.push_back(random_field(number));
  return schema;
}

// Returns a schema that differs only slightly, so that some pairs are compatible.
inline Schema random_variant(Schema schema) {
  for (Field& field : schema.fields)
    if (*rc::gen::inRange(0, 4) == 0) field = random_field(field.number);
  if (!schema.fields.empty() && *rc::gen::inRange(0, 4) == 0) schema.fields.pop_back();
  return schema;
}

// Returns valid values of the field, at or near the bounds of its range.
inline std::vector<Value> boundary_values(const Field& field) {
  const double min = field.min.value_or(field.type == Type::kText ? 0 : -3e9),
               max = field.max.value_or(field.type == Type::kText ? 300 : 3e9);
  switch (field.type) {
    case Type::kBool:
      return {false, true};
    case Type::kText:
      return {std::string(static_cast<size_t>(min), 'x'), std::string(static_cast<size_t>(max), 'x')};
    case Type::kChoice: {
      std::vector<Value> all;
      for (const auto& [value, name] : field.choices) all.push_back(value);
      return all;
    }
    case Type::kInt32:
      return {static_cast<int64_t>(std::max(min, -2147483648.0)),
              static_cast<int64_t>(std::min(max, 2147483647.0))};
    case Type::kInt64:
      return {static_cast<int64_t>(min), static_cast<int64_t>(max)};
    default:
      return {min, max, min + (max - min) / 3};
  }
}

}  // namespace firvalve::schema
