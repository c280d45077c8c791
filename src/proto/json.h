// The one look-up that the readers of JSON share.
#pragma once

#include <rapidjson/document.h>

namespace firvalve::proto {

// Null: the object has no such member.
inline const rapidjson::Value* member(const rapidjson::Value& object, const char* name) {
  const auto at = object.FindMember(name);
  return at == object.MemberEnd() ? nullptr : &at->value;
}

}  // namespace firvalve::proto
