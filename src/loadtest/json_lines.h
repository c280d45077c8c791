// JSON with the line that each value stands on, for messages that name it. Small files only.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace firvalve::loadtest {

// A text cannot be used: what() is one line that begins with "line N: ".
class JsonError : public std::runtime_error {
 public:
  JsonError(int line, const std::string& why);
};

struct JsonNode {
  enum class Kind { kNull, kBoolean, kNumber, kString, kArray, kObject };

  Kind kind = Kind::kNull;
  int line = 0;                 // where it ends, or where an array or object begins
  double number = 0;            // kNumber
  std::string text;             // kString
  std::vector<JsonNode> items;  // kArray; kObject: the values, in the order of `keys`
  std::vector<std::string> keys;

  // Null: an object without such a member.
  const JsonNode* find(std::string_view key) const;

  // These throw JsonError where the member is missing or of another kind.
  const JsonNode& at(std::string_view key) const;
  double number_at(std::string_view key) const;
  const std::string& text_at(std::string_view key) const;
  const JsonNode& array_at(std::string_view key) const;
  const JsonNode& object_at(std::string_view key) const;
};

// Throws JsonError.
JsonNode parse_json(const std::string& text);

}  // namespace firvalve::loadtest
