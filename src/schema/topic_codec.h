// Topics and changes as JSON: the form in which they are stored and in which clients send and get them. A
// decoder gives nothing where it cannot read; `why` then names the place and the fault.
#pragma once

#include <optional>
#include <string>

#include "schema/topic_change.h"

namespace firvalve::schema {

std::string encode(const Topic& topic);
std::optional<Topic> decode_topic(const std::string& json, std::string& why);
std::optional<Schema> decode_schema(const std::string& json, std::string& why);
std::optional<Declaration> decode_declaration(const std::string& json, std::string& why);
// A client's parameters: `schema`, `version`, and a declaration's own fields. The kind and the topic are the
// caller's to set.
std::optional<Change> decode_change(const std::string& json, std::string& why);
// A list of its violations.
std::string encode(const Verdict& verdict);

}  // namespace firvalve::schema
