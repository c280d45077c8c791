// Messages against their schema, and how a message of one version is given in another.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "schema/schema.h"

namespace firvalve::schema {

// What to do for each field of the version that a reader gets.
struct Projection {
  struct Step {
    uint32_t field = 0;
    enum class Kind : uint8_t { kCopy, kWiden, kPreset, kLeaveOut } kind = Kind::kCopy;
    Type type = Type::kText;      // that it becomes
    std::optional<Value> preset;  // also of kCopy and kWiden: where the message has no value
  };
  std::vector<Step> steps;
};
// None: messages of the one cannot be given to this reader as the other (compatibility_rules.h).
std::optional<Projection> plan_projection(const Schema& from, const Schema& to, const Declaration& reader);
// None: this one message cannot be given so, as it has a choice that the reader ignores in a required field.
std::optional<Content> project(const Projection& projection, const Schema& to, const Content& message);

// What is wrong with a message under a schema; empty: nothing.
std::string find_message_fault(const Schema& schema, const Content& message);

}  // namespace firvalve::schema
