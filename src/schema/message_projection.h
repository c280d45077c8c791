// Validates messages against their schema, and converts messages of one version to another.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "schema/schema.h"

namespace firvalve::schema {

// How to convert a message: one step for each field of the reader's version.
struct Projection {
  struct Step {
    uint32_t field = 0;
    enum class Kind : uint8_t { kCopy, kConvert, kUseDefault, kOmit } kind = Kind::kCopy;
    Type type = Type::kText;             // type of the field in the reader's version
    std::optional<Value> default_value;  // kUseDefault: the value; else used if the message has no value
  };
  std::vector<Step> steps;
};
// Returns nothing if messages of `from` cannot be converted to `to` for this reader; see
// compatibility_rules.h.
std::optional<Projection> plan_projection(const Schema& from, const Schema& to, const Declaration& reader);
// Returns nothing if this message has a value that does not fit a required field of `to`, for example a
// choice that the reader ignores.
std::optional<FieldValues> project(const Projection& projection, const Schema& to,
                                   const FieldValues& message);

// Returns what is wrong with a message under a schema; empty if it is valid.
std::string find_message_error(const Schema& schema, const FieldValues& message);

}  // namespace firvalve::schema
