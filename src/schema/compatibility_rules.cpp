#include "schema/compatibility_rules.h"

#include <fmt/format.h>

#include "schema/field_values.h"

namespace firvalve::schema {

namespace {

// One field that a subscriber reads: its definition in the published schema and in the reader's schema.
struct FieldUse {
  const Field* published;  // null if the published schema has no field of that number and name
  const Field& expected;   // by the reader
  const Declaration& reader;
};

void report(std::vector<Violation>& violations, Rule rule, uint32_t field, std::string description,
            std::vector<std::string> remedy) {
  violations.push_back({rule, field, std::move(description), {}, std::move(remedy)});
}

// Returns the steps of a migration that avoids changing the field in a way that breaks its readers.
std::vector<std::string> replace_by_new_field(const std::string& field) {
  return {fmt::format("add a new field beside {}, and publish both", field),
          "let the subscribers named declare versions that read the new one",
          fmt::format("then leave {} out", field)};
}

std::string describe_default(const std::optional<Value>& value) {
  if (!value) return "nothing";
  return std::visit(
      [](const auto& content) {
        if constexpr (std::is_same_v<std::decay_t<decltype(content)>, std::string>)
          return fmt::format("\"{}\"", content);
        else
          return fmt::format("{}", content);
      },
      *value);
}

// Each rule below adds its violations to `out`. It returns false if the rules after it cannot be checked.
using Violations = std::vector<Violation>;

bool check_presence(const FieldUse& use, Violations& out) {
  if (use.published) return true;
  report(out, Rule::kFieldRemoved, use.expected.number,
         fmt::format("{} is not there any more", describe(use.expected)),
         {fmt::format("keep {} until the subscribers named have declared versions without it",
                      use.expected.name)});
  return false;
}

bool check_requirement(const FieldUse& use, Violations& out) {
  if (use.expected.required && !use.published->required && !use.published->default_value)
    report(out, Rule::kMadeOptional, use.expected.number,
           fmt::format("{} may be missing, and nothing stands for it", describe(use.expected)),
           {fmt::format("give {} a preset, or keep it required until the subscribers named do without",
                        use.expected.name)});
  return true;
}

bool check_type(const FieldUse& use, Violations& out) {
  if (is_convertible(*use.published, use.expected)) return true;
  report(out, Rule::kTypeNarrowed, use.expected.number,
         fmt::format("{} comes as {} and is read as {}", describe(use.expected), name_of(use.published->type),
                     name_of(use.expected.type)),
         replace_by_new_field(use.expected.name));
  return false;
}

bool check_unit(const FieldUse& use, Violations& out) {
  if (use.published->unit != use.expected.unit)
    report(out, Rule::kUnitChanged, use.expected.number,
           fmt::format("{} comes in \"{}\" and is read in \"{}\"", describe(use.expected),
                       use.published->unit, use.expected.unit),
           replace_by_new_field(use.expected.name));
  return true;
}

// If the types differ, only an explicit range of the reader is compared: check_type() has already compared
// the ranges of the types themselves.
bool exceeds_range(const Field& published, const Field& expected) {
  if (expected.type == Type::kChoice || expected.type == Type::kBool) return false;
  const ValueRange range = range_of(published);
  if (published.type == expected.type || published.type == Type::kText)
    return !range.is_within(range_of(expected));
  return (expected.min && range.min < *expected.min) || (expected.max && range.max > *expected.max);
}

bool check_range(const FieldUse& use, Violations& out) {
  if (exceeds_range(*use.published, use.expected))
    report(out, Rule::kRangeWidened, use.expected.number,
           fmt::format("{} may come past what is read", describe(use.expected)),
           {fmt::format("keep {} within its range, or", use.expected.name),
            "add a new field beside it with the wider one",
            "let the subscribers named declare versions that read that"});
  return true;
}

bool check_added_choices(const FieldUse& use, Violations& out) {
  if (use.expected.type != Type::kChoice || use.reader.ignores_unknown_choices) return true;
  for (const auto& [value, name] : use.published->choices)
    if (!use.expected.choices.count(value))
      report(out, Rule::kChoiceAdded, use.expected.number,
             fmt::format("{} may come as {} ({})", describe(use.expected), name, value),
             {"let the subscribers named declare that they pass over unknown values, or a version that "
              "has it"});
  return true;
}

bool check_reused_choices(const FieldUse& use, Violations& out) {
  if (use.expected.type != Type::kChoice) return true;
  for (const auto& [value, name] : use.published->choices) {
    const auto known = use.expected.choices.find(value);
    if (known != use.expected.choices.end() && known->second != name)
      report(out, Rule::kChoiceReused, use.expected.number,
             fmt::format("{}: {} is {} and read as {}", describe(use.expected), value, name, known->second),
             {fmt::format("give {} a value of its own", name)});
  }
  return true;
}

bool check_default(const FieldUse& use, Violations& out) {
  if (use.reader.relies_on_defaults.count(use.expected.number) &&
      use.published->default_value != use.expected.default_value)
    report(out, Rule::kDefaultChanged, use.expected.number,
           fmt::format("where {} is not told, {} stands for it and not {}", describe(use.expected),
                       describe_default(use.published->default_value),
                       describe_default(use.expected.default_value)),
           {fmt::format("tell {} in every notice and keep its preset until nobody leans on it",
                        use.expected.name)});
  return true;
}

// The rules, applied in this order to each field that a subscriber reads.
struct FieldRule {
  bool (*check)(const FieldUse&, Violations&);
  const char* reason;
};
constexpr FieldRule kFieldRules[] = {
    {check_presence, "a field that is not published cannot be delivered to a reader"},
    {check_requirement, "a reader that requires a field needs a value in every message"},
    {check_type, "a value must fit the reader's type without loss"},
    {check_unit, "the same number in another unit is another amount, which a reader cannot detect"},
    {check_range, "a reader may size its data by the declared range"},
    {check_added_choices, "an unknown choice is an error for a reader unless it ignores unknown choices"},
    {check_reused_choices, "a choice's number must have the same meaning for reader and publisher"},
    {check_default, "a reader that relies on a default uses it as the value"},
};

void check_schema_rules(const Schema& from, const Schema& to, Violations& out) {
  if (from.key != to.key)
    report(out, Rule::kKeyChanged, 0, "the key is of other fields",
           {"begin another bulletin with the new key"});
  // A total order implies an order per key, but not the reverse.
  if (from.order != to.order && to.order == "number")
    report(out, Rule::kOrderChanged, 0, "one order for all is given up for one of each key",
           {"begin another bulletin with the new order"});
}

}  // namespace

std::vector<Violation> find_incompatibilities(const Schema& from, const Schema& to,
                                              const Declaration& reader) {
  Violations out;
  check_schema_rules(from, to, out);
  for (const uint32_t number : reader.reads) {
    const Field* const expected = to.find(number);
    if (!expected) continue;
    const Field* const published = from.find(number);
    const bool is_same = published && published->name == expected->name;
    const FieldUse use{is_same ? published : nullptr, *expected, reader};
    for (const FieldRule& rule : kFieldRules)
      if (!rule.check(use, out)) break;
  }
  return out;
}

}  // namespace firvalve::schema
