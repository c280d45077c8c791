#include "schema/message_projection.h"

#include <fmt/format.h>

#include "schema/compatibility_rules.h"
#include "schema/field_values.h"

namespace firvalve::schema {

namespace {

using Step = Projection::Step;

// `from` is null if the published schema has no field of that number.
Step plan_step(const Field* from, const Field& to) {
  Step step;
  step.field = to.number;
  step.type = to.type;
  const bool is_same = from && from->name == to.name;
  // Only a field that the reader does not read can differ here. It is filled with its default if it is
  // required, and omitted otherwise.
  if (!is_same || !is_convertible(*from, to) || from->unit != to.unit) {
    step.kind = Step::Kind::kOmit;
    if (to.required) {
      step.kind = Step::Kind::kUseDefault;
      step.default_value = to.default_value;
    }
  } else {
    step.kind = from->type == to.type ? Step::Kind::kCopy : Step::Kind::kConvert;
    step.default_value = from->default_value;
  }
  return step;
}

std::optional<Value> project_value(const Step& step, const FieldValues& message) {
  const auto published = message.find(step.field);
  const bool is_published = step.kind != Step::Kind::kUseDefault && published != message.end();
  std::optional<Value> value = is_published ? std::optional(published->second) : step.default_value;
  if (value && is_float(step.type))
    if (const int64_t* const integer = std::get_if<int64_t>(&*value)) value = static_cast<double>(*integer);
  return value;
}

}  // namespace

std::optional<Projection> plan_projection(const Schema& from, const Schema& to, const Declaration& reader) {
  if (!find_incompatibilities(from, to, reader).empty()) return {};
  Projection out;
  for (const Field& field : to.fields) out.steps.push_back(plan_step(from.find(field.number), field));
  return out;
}

std::optional<FieldValues> project(const Projection& projection, const Schema& to,
                                   const FieldValues& message) {
  FieldValues out;
  for (const Step& step : projection.steps) {
    if (step.kind == Step::Kind::kOmit) continue;
    if (std::optional<Value> value = project_value(step, message)) out.emplace(step.field, std::move(*value));
  }
  // A value that does not fit is a choice that the reader ignores, or belongs to a field that it does not
  // read. The message is delivered without it unless the field is required.
  for (const Field& field : to.fields) {
    const auto value = out.find(field.number);
    if (value == out.end() || find_value_error(field, value->second).empty()) continue;
    if (field.required) return {};
    out.erase(value);
  }
  return out;
}

std::string find_message_error(const Schema& schema, const FieldValues& message) {
  for (const auto& [number, value] : message) {
    const Field* const field = schema.find(number);
    if (!field) return fmt::format("there is no field {}", number);
    if (std::string error = find_value_error(*field, value); !error.empty()) return error;
  }
  for (const Field& field : schema.fields)
    if (field.required && !field.default_value && !message.count(field.number))
      return fmt::format("{} is missing", describe(field));
  return "";
}

}  // namespace firvalve::schema
