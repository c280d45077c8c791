// What the readers of JSON share.
#pragma once

#include <rapidjson/document.h>

#include <span>

namespace firvalve::proto {

// Null: the object has no such member.
inline const rapidjson::Value* member(const rapidjson::Value& object, const char* name) {
  const auto at = object.FindMember(name);
  return at == object.MemberEnd() ? nullptr : &at->value;
}

// Reads a message in place: strings are slices of it, and it is changed on the way. The parser stops at an
// end mark, so the byte behind the message must be writable; it is put back.
inline bool parse_in_place(std::span<char> body, rapidjson::Document& message) {
  char& behind = *(body.data() + body.size());
  const char kept = behind;
  behind = '\0';
  message.ParseInsitu<rapidjson::kParseIterativeFlag>(body.data());
  behind = kept;
  return !message.HasParseError();
}

}  // namespace firvalve::proto
