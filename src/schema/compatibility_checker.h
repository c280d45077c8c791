// The checker of changes: whether a version may be added or taken away, a declaration be made, a notice be
// sent. Pure functions: the same bulletin and proposal give the same verdict everywhere, in whatever order
// its declarations came, and a declaration more never takes a breach away.
#pragma once

#include <string>
#include <vector>

#include "schema/schema.h"

namespace firvalve::schema {

// docs/bulletins.md has the table with a sentence on each.
enum class Rule : uint8_t {
  kMalformed,      // the schema contradicts itself
  kNumberReused,   // a number stands for another field than it ever did
  kNameReused,     // a name stands under another number than it ever did
  kTakenAway,      // a field that somebody reads is not there
  kMadeOptional,   // a field that somebody counts on may be missing, and nothing stands for it
  kTypeNarrowed,   // a value may come that a reader's type cannot hold
  kUnitChanged,    // the same number means another amount
  kRangeWidened,   // a value may come past what a reader can hold
  kChoiceAdded,    // a value may come that a reader neither knows nor passes over
  kChoiceReused,   // a choice's number stands for another name
  kPresetChanged,  // a reader leans on what stood for the field
  kKeyChanged,     // notices would replace other notices than a reader thinks
  kOrderChanged,   // a reader relies on an order that is not kept
  kRequiredAdded,  // notices of an older version that is still published have nothing for it
  kStillSpoken,    // a version that a subscriber needs is to be taken away
  kNoSuchVersion,  // of a declaration: none that is there
  kNoSuchField,    // of a declaration: it reads what its versions do not have
};
const char* name_of(Rule rule);

struct Reader {
  std::string subscriber, site;
  uint32_t version = 0;
  auto operator<=>(const Reader&) const = default;
};

struct Violation {
  Rule rule = Rule::kMalformed;
  uint32_t field = 0;                // its number; 0: of the whole
  std::string what;                  // a sentence
  std::vector<Reader> readers;       // whom it would break; empty: nobody in particular
  std::vector<std::string> way_out;  // steps, in order
  bool operator==(const Violation&) const = default;
};

struct Verdict {
  std::vector<Violation> breaches;  // all of them, by rule and field
  bool good() const { return breaches.empty(); }
};

// Whether what is published as `from` can be given to a reader as `to`, and what keeps it from that: of the
// fields that it reads alone.
std::vector<Violation> between(const Schema& from, const Schema& to, const Declaration& reader);

Verdict check_new(const Topic& bulletin, const Schema& proposed);
Verdict check_retire(const Topic& bulletin, uint32_t version);
Verdict check_declaration(const Topic& bulletin, const Declaration& declaration);

// How a notice of one version is told in another: what to do with each field of that one.
struct Projection {
  struct Step {
    uint32_t field = 0;
    enum class Kind : uint8_t { kCopy, kWiden, kPreset, kLeaveOut } kind = Kind::kCopy;
    Type type = Type::kText;      // that it becomes
    std::optional<Value> preset;  // kCopy and kWiden, too: where the notice does not tell it
  };
  std::vector<Step> steps;
};
// None: there is no such projection for this reader.
std::optional<Projection> projection(const Schema& from, const Schema& to, const Declaration& reader);
// None: this one notice cannot be told so, as a choice's value that the reader passes over.
std::optional<Content> project(const Projection& projection, const Schema& to, const Content& notice);

// What is wrong with a notice under a schema; empty: nothing.
std::string fault_of(const Schema& schema, const Content& notice);

}  // namespace firvalve::schema
