#include "schema/field_values.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace firvalve::schema {

namespace {

// Largest integers (2^24 and 2^53) up to which floating-point types represent every integer exactly.
constexpr double kMaxFloat32Integer = 16777216, kMaxFloat64Integer = 9007199254740992.0;
constexpr double kInfinity = std::numeric_limits<double>::infinity();

ValueRange range_of(Type type) {
  switch (type) {
    case Type::kInt32:
      return {-2147483648.0, 2147483647.0};
    case Type::kInt64:
      return {-9223372036854775808.0, 9223372036854775807.0};
    case Type::kFloat32:
      return {-std::numeric_limits<float>::max(), std::numeric_limits<float>::max()};
    case Type::kText:
      return {0, kInfinity};
    default:
      return {-kInfinity, kInfinity};
  }
}

// Whether every value of the type `narrow` can be represented exactly in the type `wide`.
bool can_represent(Type wide, Type narrow) {
  if (wide == narrow) return true;
  switch (wide) {
    case Type::kInt64:
      return narrow == Type::kInt32;
    case Type::kFloat64:
      return narrow == Type::kInt32 || narrow == Type::kFloat32;
    default:
      return false;
  }
}

bool has_type(const Value& value, Type type) {
  switch (type) {
    case Type::kBool:
      return std::holds_alternative<bool>(value);
    case Type::kText:
      return std::holds_alternative<std::string>(value);
    case Type::kInt32:
    case Type::kInt64:
    case Type::kChoice:
      return std::holds_alternative<int64_t>(value);
    default:
      return std::holds_alternative<double>(value);
  }
}

// Returns the amount that the range of a field limits: the number itself, or the length of a text in bytes.
double bounded_amount(const Value& value) {
  if (const auto* const text = std::get_if<std::string>(&value)) return static_cast<double>(text->size());
  if (const auto* const real = std::get_if<double>(&value)) return *real;
  return static_cast<double>(std::get<int64_t>(value));
}

}  // namespace

const char* name_of(Type type) { return kTypeNames[static_cast<size_t>(type)]; }

bool is_integer(Type type) { return type == Type::kInt32 || type == Type::kInt64; }
bool is_float(Type type) { return type == Type::kFloat32 || type == Type::kFloat64; }
bool is_number(Type type) { return is_integer(type) || is_float(type); }

ValueRange range_of(const Field& field) {
  ValueRange range = range_of(field.type);
  if (field.min) range.min = std::max(range.min, *field.min);
  if (field.max) range.max = std::min(range.max, *field.max);
  return range;
}

bool is_convertible(const Field& from, const Field& to) {
  if (can_represent(to.type, from.type)) return true;
  if (!is_integer(from.type)) return false;
  const ValueRange range = range_of(from);
  switch (to.type) {
    case Type::kInt32:
      return range.is_within(range_of(Type::kInt32));
    case Type::kInt64:
      return true;
    case Type::kFloat32:
      return range.is_within({-kMaxFloat32Integer, kMaxFloat32Integer});
    case Type::kFloat64:
      return range.is_within({-kMaxFloat64Integer, kMaxFloat64Integer});
    default:
      return false;
  }
}

std::string find_value_error(const Field& field, const Value& value) {
  if (!has_type(value, field.type)) return fmt::format("{} is no {}", describe(field), name_of(field.type));
  if (field.type == Type::kChoice) {
    const int64_t choice = std::get<int64_t>(value);
    return field.choices.count(choice) ? "" : fmt::format("{} has no choice {}", describe(field), choice);
  }
  if (field.type == Type::kBool) return "";
  const ValueRange range = range_of(field);
  const double amount = bounded_amount(value);
  // Written so that NaN is out of range, too.
  if (!(amount >= range.min && amount <= range.max))
    return fmt::format("{} is out of its range", describe(field));
  return "";
}

std::string describe(const Field& field) { return fmt::format("{} ({})", field.name, field.number); }

}  // namespace firvalve::schema
