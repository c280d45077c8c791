// The table of the configuration file's fields: where each value is stored, and what it may be.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/operator_config.h"

namespace firvalve::config {

// Where the value of a field is stored. Its alternative is the field's type.
using FieldTarget = std::variant<bool*, double*, std::string*, std::vector<std::string>*>;

struct Field {
  // Of a number; both ends are allowed.
  struct Range {
    double min = 0, max = 0;
    bool is_integer = false;
  };
  std::string_view path;  // "SECTION.KEY"
  FieldTarget (*target)(OperatorConfig&);
  std::string_view unit;  // of a number; of other types, the form that is wanted
  std::string_view purpose;
  Range range = {};                                  // of a number
  std::vector<std::string_view> allowed_words = {};  // of a string; empty: any string

  // What the value may be, for people.
  std::string expectation() const;
};

// In the order of the documentation.
const std::vector<Field>& all_fields();
const Field* find_field(std::string_view path);     // null: there is none
bool is_section(std::string_view path);             // whether there are fields below it
const Field* closest_field(std::string_view path);  // to a misspelt path; null: none is similar

}  // namespace firvalve::config
