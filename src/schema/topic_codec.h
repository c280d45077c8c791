// JSON encoding of topics and changes, as stored in the registers and as exchanged with clients. A decoder
// returns nothing if the JSON is invalid; `error` then says where and why.
#pragma once

#include <optional>
#include <string>

#include "schema/topic_change.h"

namespace firvalve::schema {

std::string encode(const Topic& topic);
std::optional<Topic> decode_topic(const std::string& json, std::string& error);
std::optional<Schema> decode_schema(const std::string& json, std::string& error);
std::optional<Declaration> decode_declaration(const std::string& json, std::string& error);
// Decodes the parameters of a client's request: `schema`, `version`, and the fields of a declaration. The
// caller sets the change's kind and topic.
std::optional<Change> decode_change(const std::string& json, std::string& error);
// Encodes the verdict as the list of its violations.
std::string encode(const Verdict& verdict);

}  // namespace firvalve::schema
