// Values of fields: which values a field can have, and whether another field can represent them.
#pragma once

#include <string>

#include "schema/schema.h"

namespace firvalve::schema {

// Indexed by Type. Used in messages to clients and in stored topics.
inline constexpr const char* kTypeNames[] = {"bool",    "int32", "int64", "float32",
                                             "float64", "text",  "choice"};
const char* name_of(Type type);
bool is_number(Type type);
bool is_integer(Type type);
bool is_float(Type type);

struct ValueRange {
  double min, max;
  bool is_within(const ValueRange& other) const { return min >= other.min && max <= other.max; }
};
// The range of a number's values, or of a text's length in bytes.
ValueRange range_of(const Field& field);

// Whether every value of `from` can be represented in `to`, either because the type of `to` is wide enough or
// because the range of `from` is small enough.
bool is_convertible(const Field& from, const Field& to);

// Returns what is wrong with the value (its type, its range, an unknown choice); empty if it is valid.
std::string find_value_error(const Field& field, const Value& value);

// The field's name and number, for error messages.
std::string describe(const Field& field);

}  // namespace firvalve::schema
