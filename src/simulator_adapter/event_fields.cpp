// Typed access to the fields of a simulator event.
#include "simulator_adapter/event_fields.h"

#include <algorithm>

namespace firvalve::simulator {

using rapidjson::Value;

EventFields::EventFields(const std::string& event, const Value& value) : event_(event), value_(value) {
  if (!value.IsObject()) throw MalformedInput("event " + event + ": not an object");
}

int64_t EventFields::integer(const char* name, int64_t default_value) const {
  const Value* value = find(name);
  return value ? integer_in(*value, name) : default_value;
}

double EventFields::number(const char* name, double default_value) const {
  const Value* value = find(name);
  if (value && !value->IsNumber()) throw_mismatch(name, "a number");
  return value ? value->GetDouble() : default_value;
}

bool EventFields::flag(const char* name) const {
  const Value* value = find(name);
  if (value && !value->IsBool()) throw_mismatch(name, "true or false");
  return value && value->GetBool();
}

std::string EventFields::text(const char* name) const {
  const Value& value = required(name);
  if (!value.IsString()) throw_mismatch(name, "a string");
  return {value.GetString(), value.GetStringLength()};
}

CommandId EventFields::command_id() const {
  const std::string text_id = text("job");
  CommandId id;
  if (text_id.size() != id.text.size()) throw_mismatch("job", "16 characters");
  std::copy(text_id.begin(), text_id.end(), id.text.begin());
  return id;
}

const Value& EventFields::required(const char* name) const {
  const Value* value = find(name);
  if (!value) throw_mismatch(name, "there");
  return *value;
}

const Value* EventFields::find(const char* name) const {
  const auto at = value_.FindMember(name);
  return at == value_.MemberEnd() || at->value.IsNull() ? nullptr : &at->value;
}

void EventFields::throw_mismatch(const char* name, const std::string& expected) const {
  throw MalformedInput("event " + event_ + ": field " + name + " is not " + expected);
}

int64_t EventFields::integer_in(const Value& value, const char* name) const {
  if (value.IsInt64()) return value.GetInt64();
  if (value.IsUint64()) return static_cast<int64_t>(value.GetUint64());
  throw_mismatch(name, "a whole number");
}

}  // namespace firvalve::simulator
