// Changes of a topic's versions and declarations, and what they make of it. Pure functions.
#pragma once

#include <string>

#include "schema/schema.h"
#include "schema/violation.h"

namespace firvalve::schema {

constexpr size_t kMaxVersions = 256, kMaxFields = 1024, kMaxDeclarations = 8192;  // of one topic

struct Change {
  enum class Kind : uint8_t {
    kPropose,    // schema: a new version
    kDeprecate,  // version: nobody is to publish it any more
    kRetire,     // version: nobody may read it any more
    kDeclare,    // declaration: made, or renewed
    kWithdraw,   // declaration.subscriber: it reads no longer
    kExpire,     // the same, where its count of renewals is still declaration.renewals
    kRead,       // nothing changes: the topic is the answer
  };
  Kind kind = Kind::kRead;
  std::string topic;
  Schema schema;
  uint32_t version = 0;
  Declaration declaration;
};

// Which of the client's parameters the change still lacks, as a sentence; empty: none.
std::string find_missing_parameter(const Change& change);

struct AppliedChange {
  Topic after;
  Verdict verdict;       // why it may not be
  uint32_t version = 0;  // that was made or changed, or already stood just so
  bool has_changed = false;
};
AppliedChange apply(const Topic& before, const Change& change);

}  // namespace firvalve::schema
