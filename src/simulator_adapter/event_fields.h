// Reads the fields of one simulator event by name and checks their types.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <stdexcept>
#include <string>

#include "policy/events.h"

namespace firvalve::simulator {

// Thrown for malformed input. The message names the event and the field.
struct MalformedInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// All readers throw MalformedInput if the field has another type, or if it is absent and there is no default.
// Null counts as absent. Keeps references to both constructor arguments.
class EventFields {
 public:
  EventFields(const std::string& event, const rapidjson::Value& value);

  int64_t integer(const char* name) const { return integer_in(required(name), name); }
  int64_t integer(const char* name, int64_t default_value) const;
  double number(const char* name, double default_value) const;
  bool flag(const char* name) const;  // false if absent
  std::string text(const char* name) const;
  CommandId command_id() const;
  const rapidjson::Value& required(const char* name) const;
  const rapidjson::Value* find(const char* name) const;  // null if absent

  // Throws MalformedInput: "... is not `expected`".
  [[noreturn]] void throw_mismatch(const char* name, const std::string& expected) const;

 private:
  int64_t integer_in(const rapidjson::Value& value, const char* name) const;

  const std::string& event_;
  const rapidjson::Value& value_;
};

}  // namespace firvalve::simulator
