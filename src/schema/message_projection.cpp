#include "schema/message_projection.h"

#include <fmt/format.h>

#include "schema/compatibility_rules.h"
#include "schema/field_values.h"

namespace firvalve::schema {

namespace {

using Step = Projection::Step;

// `from` is null where no field of that number is published.
Step plan_step(const Field* from, const Field& to) {
  Step step;
  step.field = to.number;
  step.type = to.type;
  const bool is_same = from && from->name == to.name;
  // A field that the reader does not read is given where that does no harm, and left out elsewhere.
  if (!is_same || !is_convertible(*from, to) || from->unit != to.unit) {
    step.kind = Step::Kind::kLeaveOut;
    if (to.required) {
      step.kind = Step::Kind::kPreset;
      step.preset = to.preset;
    }
  } else {
    step.kind = from->type == to.type ? Step::Kind::kCopy : Step::Kind::kWiden;
    step.preset = from->preset;
  }
  return step;
}

std::optional<Value> project_value(const Step& step, const Content& message) {
  const auto published = message.find(step.field);
  const bool is_published = step.kind != Step::Kind::kPreset && published != message.end();
  std::optional<Value> value = is_published ? std::optional(published->second) : step.preset;
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

std::optional<Content> project(const Projection& projection, const Schema& to, const Content& message) {
  Content out;
  for (const Step& step : projection.steps) {
    if (step.kind == Step::Kind::kLeaveOut) continue;
    if (std::optional<Value> value = project_value(step, message)) out.emplace(step.field, std::move(*value));
  }
  // What does not fit may be a choice that the reader ignores, or of a field that it does not read: the
  // message is given without it.
  for (const Field& field : to.fields) {
    const auto value = out.find(field.number);
    if (value == out.end() || find_value_fault(field, value->second).empty()) continue;
    if (field.required) return {};
    out.erase(value);
  }
  return out;
}

std::string find_message_fault(const Schema& schema, const Content& message) {
  for (const auto& [number, value] : message) {
    const Field* const field = schema.find(number);
    if (!field) return fmt::format("there is no field {}", number);
    if (std::string fault = find_value_fault(*field, value); !fault.empty()) return fault;
  }
  for (const Field& field : schema.fields)
    if (field.required && !field.preset && !message.count(field.number))
      return fmt::format("{} is missing", described(field));
  return "";
}

}  // namespace firvalve::schema
