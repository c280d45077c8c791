// The fields of one event of the simulator, read by name and checked by type.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <stdexcept>
#include <string>

#include "policy/events.h"

namespace firvalve::simulator {

// Input that cannot be read: the text names the event and the field.
struct MalformedInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// All readers throw MalformedInput where the field is of another type, and where it is absent, unless they
// have a default. Null counts as absent. Refers to both arguments of its constructor.
class EventFields {
 public:
  EventFields(const std::string& event, const rapidjson::Value& value);

  int64_t integer(const char* name) const { return integer_in(required(name), name); }
  int64_t integer(const char* name, int64_t otherwise) const;
  double number(const char* name, double otherwise) const;
  bool flag(const char* name) const;  // false where absent
  std::string text(const char* name) const;
  CommandId command_id() const;
  const rapidjson::Value& required(const char* name) const;
  const rapidjson::Value* find(const char* name) const;  // null where absent

  [[noreturn]] void throw_not(const char* name, const std::string& expected) const;

 private:
  int64_t integer_in(const rapidjson::Value& value, const char* name) const;

  const std::string& event_;
  const rapidjson::Value& value_;
};

}  // namespace firvalve::simulator
