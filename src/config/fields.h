// The table of the configuration file's fields: where each value is stored, and which values are allowed.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/operator_config.h"

namespace firvalve::config {

// The variable that stores a field's value. The variant's alternative determines the field's type.
using FieldTarget = std::variant<bool*, double*, std::string*, std::vector<std::string>*>;

struct Field {
  // Allowed range of a number, both ends included.
  struct Range {
    double min = 0, max = 0;
    bool is_integer = false;
  };
  std::string_view path;  // "SECTION.KEY"
  FieldTarget (*target)(OperatorConfig&);
  std::string_view unit;  // unit of a number; for other types, the expected form
  std::string_view purpose;
  Range range = {};                                  // numbers only
  std::vector<std::string_view> allowed_words = {};  // strings only; empty: any string

  // Human-readable description of the allowed values and of the field's purpose.
  std::string expectation() const;
};

// All fields, in the order of the documentation.
const std::vector<Field>& all_fields();
const Field* find_field(std::string_view path);     // null if there is no such field
bool is_section(std::string_view path);             // whether any field's path starts with `path` and a dot
const Field* closest_field(std::string_view path);  // for a misspelt path; null if no field is similar

}  // namespace firvalve::config
