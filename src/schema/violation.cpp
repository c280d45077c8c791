#include "schema/violation.h"

#include <algorithm>
#include <tuple>

namespace firvalve::schema {

const char* name_of(Rule rule) {
  static const char* const kNames[] = {
      "malformed",     "number_reused",  "name_reused",  "taken_away",      "made_optional",  "type_narrowed",
      "unit_changed",  "range_widened",  "choice_added", "choice_reused",   "preset_changed", "key_changed",
      "order_changed", "required_added", "still_spoken", "no_such_version", "no_such_field"};
  return kNames[static_cast<size_t>(rule)];
}

void add_violation(std::vector<Violation>& violations, const Violation& added) {
  const auto same = std::find_if(violations.begin(), violations.end(), [&](const Violation& other) {
    return other.rule == added.rule && other.field == added.field && other.description == added.description;
  });
  if (same == violations.end()) {
    violations.push_back(added);
    return;
  }
  same->readers.insert(same->readers.end(), added.readers.begin(), added.readers.end());
}

Verdict verdict_of(std::vector<Violation> violations) {
  for (Violation& violation : violations) {
    std::vector<Reader>& readers = violation.readers;
    std::sort(readers.begin(), readers.end());
    readers.erase(std::unique(readers.begin(), readers.end()), readers.end());
  }
  std::sort(violations.begin(), violations.end(), [](const Violation& one, const Violation& other) {
    return std::tie(one.rule, one.field, one.description) <
           std::tie(other.rule, other.field, other.description);
  });
  return {std::move(violations)};
}

}  // namespace firvalve::schema
