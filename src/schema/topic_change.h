// Changes to the versions and declarations of a topic, and how they are applied. Pure functions.
#pragma once

#include <string>

#include "schema/schema.h"
#include "schema/violation.h"

namespace firvalve::schema {

constexpr size_t kMaxVersions = 256, kMaxFields = 1024, kMaxDeclarations = 8192;  // per topic

struct Change {
  // Each kind lists the members of Change that it uses, apart from the topic.
  enum class Kind : uint8_t {
    kPropose,    // schema: adds it as a new version
    kDeprecate,  // version: publishers must stop using it
    kRetire,     // version: readers can no longer use it
    kDeclare,    // declaration: adds or renews it
    kWithdraw,   // declaration.subscriber: removes its declaration
    kExpire,     // like kWithdraw, but only if the renewal count is still declaration.renewals
    kRead,       // changes nothing; the topic is the result
  };
  Kind kind = Kind::kRead;
  std::string topic;
  Schema schema;
  uint32_t version = 0;
  Declaration declaration;
};

// Returns an error message if a parameter that the change needs is missing; otherwise empty.
std::string find_missing_parameter(const Change& change);

struct AppliedChange {
  Topic after;
  Verdict verdict;       // why the change is rejected; empty if it is not
  uint32_t version = 0;  // the version added or changed, or the live version that equals the proposed schema
  bool has_changed = false;
};
AppliedChange apply(const Topic& before, const Change& change);

}  // namespace firvalve::schema
