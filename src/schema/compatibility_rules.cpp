#include "schema/compatibility_rules.h"

#include <fmt/format.h>

#include "schema/field_values.h"

namespace firvalve::schema {

namespace {

// A field as it is published and as a subscriber reads it. `from` is null where nothing of that number and
// name is published.
struct FieldUse {
  const Field* from;
  const Field& to;
  const Declaration& reader;
};

void report(std::vector<Violation>& violations, Rule rule, uint32_t field, std::string description,
            std::vector<std::string> remedy) {
  violations.push_back({rule, field, std::move(description), {}, std::move(remedy)});
}

// Steps that make a change possible which would break readers now.
std::vector<std::string> replace_by_new_field(const std::string& field) {
  return {fmt::format("add a new field beside {}, and publish both", field),
          "let the subscribers named declare versions that read the new one",
          fmt::format("then leave {} out", field)};
}

std::string described_preset(const std::optional<Value>& value) {
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

// Each rule adds its violations. False: the rules after it have nothing to compare.
using Violations = std::vector<Violation>;

bool check_presence(const FieldUse& use, Violations& out) {
  if (use.from) return true;
  report(out, Rule::kFieldRemoved, use.to.number, fmt::format("{} is not there any more", described(use.to)),
         {fmt::format("keep {} until the subscribers named have declared versions without it", use.to.name)});
  return false;
}

bool check_requirement(const FieldUse& use, Violations& out) {
  if (use.to.required && !use.from->required && !use.from->preset)
    report(out, Rule::kMadeOptional, use.to.number,
           fmt::format("{} may be missing, and nothing stands for it", described(use.to)),
           {fmt::format("give {} a preset, or keep it required until the subscribers named do without",
                        use.to.name)});
  return true;
}

bool check_type(const FieldUse& use, Violations& out) {
  if (is_convertible(*use.from, use.to)) return true;
  report(out, Rule::kTypeNarrowed, use.to.number,
         fmt::format("{} comes as {} and is read as {}", described(use.to), name_of(use.from->type),
                     name_of(use.to.type)),
         replace_by_new_field(use.to.name));
  return false;
}

bool check_unit(const FieldUse& use, Violations& out) {
  if (use.from->unit != use.to.unit)
    report(out, Rule::kUnitChanged, use.to.number,
           fmt::format("{} comes in \"{}\" and is read in \"{}\"", described(use.to), use.from->unit,
                       use.to.unit),
           replace_by_new_field(use.to.name));
  return true;
}

// Where the reader's type is another, only a range that it states itself can be left: check_type() has
// compared the types' own.
bool exceeds_range(const Field& from, const Field& to) {
  if (to.type == Type::kChoice || to.type == Type::kBool) return false;
  const ValueRange published = range_of(from);
  if (from.type == to.type || from.type == Type::kText) return !published.is_within(range_of(to));
  return (to.least && published.least < *to.least) || (to.most && published.most > *to.most);
}

bool check_range(const FieldUse& use, Violations& out) {
  if (exceeds_range(*use.from, use.to))
    report(out, Rule::kRangeWidened, use.to.number,
           fmt::format("{} may come past what is read", described(use.to)),
           {fmt::format("keep {} within its range, or", use.to.name),
            "add a new field beside it with the wider one",
            "let the subscribers named declare versions that read that"});
  return true;
}

bool check_added_choices(const FieldUse& use, Violations& out) {
  if (use.to.type != Type::kChoice || use.reader.ignores_unknown_choices) return true;
  for (const auto& [value, name] : use.from->choices)
    if (!use.to.choices.count(value))
      report(out, Rule::kChoiceAdded, use.to.number,
             fmt::format("{} may come as {} ({})", described(use.to), name, value),
             {"let the subscribers named declare that they pass over unknown values, or a version that "
              "has it"});
  return true;
}

bool check_reused_choices(const FieldUse& use, Violations& out) {
  if (use.to.type != Type::kChoice) return true;
  for (const auto& [value, name] : use.from->choices) {
    const auto known = use.to.choices.find(value);
    if (known != use.to.choices.end() && known->second != name)
      report(out, Rule::kChoiceReused, use.to.number,
             fmt::format("{}: {} is {} and read as {}", described(use.to), value, name, known->second),
             {fmt::format("give {} a value of its own", name)});
  }
  return true;
}

bool check_preset(const FieldUse& use, Violations& out) {
  if (use.reader.relies_on_presets.count(use.to.number) && use.from->preset != use.to.preset)
    report(
        out, Rule::kPresetChanged, use.to.number,
        fmt::format("where {} is not told, {} stands for it and not {}", described(use.to),
                    described_preset(use.from->preset), described_preset(use.to.preset)),
        {fmt::format("tell {} in every notice and keep its preset until nobody leans on it", use.to.name)});
  return true;
}

// Applied in this order to each field that a subscriber reads.
struct FieldRule {
  bool (*check)(const FieldUse&, Violations&);
  const char* reason;
};
constexpr FieldRule kFieldRules[] = {
    {check_presence, "a reader cannot be given a field that nobody publishes"},
    {check_requirement, "a reader that requires a value must find one in every message"},
    {check_type, "a value must fit the reader's type without loss"},
    {check_unit, "the same number in another unit is another amount, and nothing shows it"},
    {check_range, "a reader may size its data by the range that it was promised"},
    {check_added_choices, "a value that a reader does not know is an error to it, unless it ignores those"},
    {check_reused_choices, "a choice's number must mean to a reader what it means to the publisher"},
    {check_preset, "a reader that relies on a preset takes it for the value"},
};

void check_schema_rules(const Schema& from, const Schema& to, Violations& out) {
  if (from.key != to.key)
    report(out, Rule::kKeyChanged, 0, "the key is of other fields",
           {"begin another bulletin with the new key"});
  // One order for all is an order for each key as well, not the other way round.
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
    const Field* const read = to.find(number);
    if (!read) continue;
    const Field* const published = from.find(number);
    const bool is_same = published && published->name == read->name;
    const FieldUse use{is_same ? published : nullptr, *read, reader};
    for (const FieldRule& rule : kFieldRules)
      if (!rule.check(use, out)) break;
  }
  return out;
}

}  // namespace firvalve::schema
