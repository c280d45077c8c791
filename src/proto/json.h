// Helpers for parsing JSON messages.
#pragma once

#include <rapidjson/document.h>

#include <span>

namespace firvalve::proto {

// Returns null if the object has no such member.
inline const rapidjson::Value* find_member(const rapidjson::Value& object, const char* name) {
  const auto at = object.FindMember(name);
  return at == object.MemberEnd() ? nullptr : &at->value;
}

// Parses a message in place: this modifies the message, and strings of the document point into it. The parser
// needs a terminating NUL, so the byte after the message must be writable; it is restored afterwards.
inline bool parse_in_place(std::span<char> body, rapidjson::Document& message) {
  char& terminator = *(body.data() + body.size());
  const char original = terminator;
  terminator = '\0';
  message.ParseInsitu<rapidjson::kParseIterativeFlag>(body.data());
  terminator = original;
  return !message.HasParseError();
}

}  // namespace firvalve::proto
