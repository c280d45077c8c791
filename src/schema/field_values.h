// What values a field may have, and which of them another field can hold.
#pragma once

#include <string>

#include "schema/schema.h"

namespace firvalve::schema {

// By Type: as clients and stored topics have them.
inline constexpr const char* kTypeNames[] = {"bool",    "int32", "int64", "float32",
                                             "float64", "text",  "choice"};
const char* name_of(Type type);
bool is_number(Type type);
bool is_integer(Type type);
bool is_float(Type type);

struct ValueRange {
  double least, most;
  bool is_within(const ValueRange& other) const { return least >= other.least && most <= other.most; }
};
// Of a number its values, of a text its length in bytes.
ValueRange range_of(const Field& field);

// Whether every value that may come as `from` can be held as `to`: by its type, or because its range is small
// enough.
bool is_convertible(const Field& from, const Field& to);

// What is wrong with the value: its type, its range, an unknown choice. Empty: nothing.
std::string find_value_fault(const Field& field, const Value& value);

// For sentences: name and number.
std::string described(const Field& field);

}  // namespace firvalve::schema
