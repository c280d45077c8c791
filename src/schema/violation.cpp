#include "schema/violation.h"

#include <algorithm>
#include <tuple>

namespace firvalve::schema {

const char* name_of(Rule rule) {
  // Indexed by Rule. Clients match these names, so they stay as they are.
  static const char* const kNames[] = {
      "malformed",     "number_reused",  "name_reused",  "taken_away",      "made_optional",  "type_narrowed",
      "unit_changed",  "range_widened",  "choice_added", "choice_reused",   "preset_changed", "key_changed",
      "order_changed", "required_added", "still_spoken", "no_such_version", "no_such_field"};
  return kNames[static_cast<size_t>(rule)];
}

void add_violation(std::vector<Violation>& violations, const Violation& added) {
  const auto existing = std::find_if(violations.begin(), violations.end(), [&](const Violation& other) {
    return other.rule == added.rule && other.field == added.field && other.description == added.description;
  });
  if (existing == violations.end()) {
    violations.push_back(added);
    return;
  }
  existing->readers.insert(existing->readers.end(), added.readers.begin(), added.readers.end());
}

Verdict make_verdict(std::vector<Violation> violations) {
  for (Violation& violation : violations) {
    std::vector<Reader>& readers = violation.readers;
    std::sort(readers.begin(), readers.end());
    readers.erase(std::unique(readers.begin(), readers.end()), readers.end());
  }
  std::sort(violations.begin(), violations.end(), [](const Violation& left, const Violation& right) {
    return std::tie(left.rule, left.field, left.description) <
           std::tie(right.rule, right.field, right.description);
  });
  return {std::move(violations)};
}

}  // namespace firvalve::schema
