// Why a schema or declaration is rejected: rules, and their violations with the readers that they would
// break.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace firvalve::schema {

// docs/bulletins.md explains each to clients.
enum class Rule : uint8_t {
  kMalformed,      // the schema contradicts itself
  kNumberReused,   // a number stands for another field than it ever did
  kNameReused,     // a name stands under another number than it ever did
  kFieldRemoved,   // a field that somebody reads is not there
  kMadeOptional,   // a field that somebody counts on may have no value, and no preset stands for it
  kTypeNarrowed,   // a value may come that a reader's type cannot hold
  kUnitChanged,    // the same number means another amount
  kRangeWidened,   // a value may come outside the range that a reader expects
  kChoiceAdded,    // a value may come that a reader neither knows nor ignores
  kChoiceReused,   // a choice's number stands for another name
  kPresetChanged,  // a reader relies on the preset that stood for the field
  kKeyChanged,     // messages would replace other messages than a reader assumes
  kOrderChanged,   // a reader relies on an order that is not kept
  kRequiredAdded,  // messages of an older version that is still published have no value for it
  kVersionInUse,   // a version that a subscriber needs is to be retired
  kNoSuchVersion,  // of a declaration: none that is there
  kNoSuchField,    // of a declaration: it reads what its versions do not have
};
// The name under which clients know it.
const char* name_of(Rule rule);

struct Reader {
  std::string subscriber, site;
  uint32_t version = 0;
  auto operator<=>(const Reader&) const = default;
};

struct Violation {
  Rule rule = Rule::kMalformed;
  uint32_t field = 0;               // its number; 0: of the whole schema
  std::string description;          // a sentence
  std::vector<Reader> readers;      // whom it would break; empty: nobody in particular
  std::vector<std::string> remedy;  // steps, in order
  bool operator==(const Violation&) const = default;
};

// All violations, by rule, field and description. The same input gives the same verdict everywhere.
struct Verdict {
  std::vector<Violation> violations;
  bool is_compatible() const { return violations.empty(); }
};

// Adds a violation; one that is there already gets its readers.
void add_violation(std::vector<Violation>& violations, const Violation& added);
// Orders violations and their readers, each reader once.
Verdict verdict_of(std::vector<Violation> violations);

}  // namespace firvalve::schema
