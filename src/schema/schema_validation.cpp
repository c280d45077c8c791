#include "schema/schema_validation.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "schema/field_values.h"

namespace firvalve::schema {

namespace {

class SchemaValidator {
 public:
  void check_number(const Field& field) {
    if (field.number == 0 || field.number <= last_number_)
      report(field.number, fmt::format("numbers go up from 1; {} follows {}", field.number, last_number_));
    last_number_ = std::max(last_number_, field.number);
  }
  void check_name(const Field& field) {
    if (field.name.empty()) report(field.number, fmt::format("field {} has no name", field.number));
    if (!names_.insert(field.name).second)
      report(field.number, fmt::format("the name {} stands twice", field.name));
  }
  void check_choices(const Field& field) {
    if ((field.type == Type::kChoice) != !field.choices.empty())
      report(field.number, fmt::format("{}: choices belong to a field of type choice, which has at least one",
                                       describe(field)));
    std::set<std::string> names;
    for (const auto& [value, name] : field.choices)
      if (!names.insert(name).second)
        report(field.number, fmt::format("{}: the choice {} stands twice", describe(field), name));
  }
  void check_range(const Field& field) {
    if ((field.min || field.max) && !is_number(field.type) && field.type != Type::kText)
      report(field.number, fmt::format("{} has a range and is neither a number nor a text", describe(field)));
    const ValueRange range = range_of(field);
    if (range.min > range.max) report(field.number, fmt::format("{} has an empty range", describe(field)));
  }
  void check_unit(const Field& field) {
    if (!field.unit.empty() && !is_number(field.type))
      report(field.number, fmt::format("{} has a unit and is no number", describe(field)));
  }
  void check_default(const Field& field) {
    if (!field.default_value) return;
    if (const std::string error = find_value_error(field, *field.default_value); !error.empty())
      report(field.number, fmt::format("its preset: {}", error));
  }
  void check_key(const Schema& schema) {
    for (const uint32_t number : schema.key) {
      const Field* const field = schema.find(number);
      if (!field)
        report(number, fmt::format("the key names field {}, which is not there", number));
      else if (!field->required)
        report(number, fmt::format("{} is in the key and so has to be required", describe(*field)));
    }
  }
  void check_order(const Schema& schema) {
    if (schema.order != "number" && schema.order != "key") report(0, "order is \"number\" or \"key\"");
  }
  std::vector<Violation> take_violations() { return std::move(violations_); }

 private:
  void report(uint32_t field, std::string description) {
    violations_.push_back({Rule::kMalformed, field, std::move(description), {}, {}});
  }

  std::vector<Violation> violations_;
  std::set<std::string> names_;
  uint32_t last_number_ = 0;
};

}  // namespace

std::vector<Violation> find_schema_errors(const Schema& schema) {
  SchemaValidator validator;
  for (const Field& field : schema.fields) {
    validator.check_number(field);
    validator.check_name(field);
    validator.check_choices(field);
    validator.check_range(field);
    validator.check_unit(field);
    validator.check_default(field);
  }
  validator.check_key(schema);
  validator.check_order(schema);
  return validator.take_violations();
}

}  // namespace firvalve::schema
