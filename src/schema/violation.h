// Reasons for rejecting a schema, a retirement or a declaration: the violated rules and the affected readers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace firvalve::schema {

// docs/topics.md explains each rule to clients.
enum class Rule : uint8_t {
  kMalformed,       // the schema is invalid in itself, or a limit is exceeded
  kNumberReused,    // some version uses the number for a field of another name
  kNameReused,      // some version uses the name for a field of another number
  kFieldRemoved,    // a field that a reader reads is missing
  kMadeOptional,    // a field that a reader requires is optional and has no default
  kTypeNarrowed,    // the reader's type cannot represent every value of the published type
  kUnitChanged,     // the same number stands for another amount
  kRangeWidened,    // values may exceed the range that a reader expects
  kChoiceAdded,     // the field may have a choice that a reader neither knows nor ignores
  kChoiceReused,    // the choice's number has another name
  kDefaultChanged,  // a reader relies on a default value that differs
  kKeyChanged,      // messages would replace other messages than a reader assumes
  kOrderChanged,    // a reader relies on an order that is no longer guaranteed
  kRequiredAdded,   // messages of a version that is still live have no value for a required field
  kVersionInUse,    // the version to be retired is the only one that some subscriber can read
  kNoSuchVersion,   // a retirement, deprecation or declaration names no existing version
  kNoSuchField,     // a declaration reads fields that its versions lack
};
// The name that clients see on the wire.
const char* name_of(Rule rule);

struct Reader {
  std::string subscriber, site;
  uint32_t version = 0;
  auto operator<=>(const Reader&) const = default;
};

struct Violation {
  Rule rule = Rule::kMalformed;
  uint32_t field = 0;               // field number; 0: concerns the whole schema
  std::string description;          // one sentence
  std::vector<Reader> readers;      // the readers that would break; empty: independent of readers
  std::vector<std::string> remedy;  // steps, in order
  bool operator==(const Violation&) const = default;
};

// All violations, sorted by rule, field and description. The same input gives the same verdict on every
// gateway.
struct Verdict {
  std::vector<Violation> violations;
  bool is_compatible() const { return violations.empty(); }
};

// Adds a violation. If the same violation is present already, only adds the readers to it.
void add_violation(std::vector<Violation>& violations, const Violation& added);
// Sorts the violations and their readers, and removes duplicate readers.
Verdict make_verdict(std::vector<Violation> violations);

}  // namespace firvalve::schema
