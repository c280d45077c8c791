// Parses JSON and keeps the line number of each value for error messages. Intended for small files only.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace firvalve::loadtest {

// Thrown for invalid JSON or a missing or mistyped member. what() is one line that begins with "line N: ".
class JsonError : public std::runtime_error {
 public:
  JsonError(int line, const std::string& why);
};

// A parsed value.
struct JsonNode {
  enum class Kind { kNull, kBoolean, kNumber, kString, kArray, kObject };

  Kind kind = Kind::kNull;
  int line = 0;                 // line of its end; of the start for an array or object
  double number = 0;            // kNumber
  std::string text;             // kString
  std::vector<JsonNode> items;  // kArray; kObject: the values, in the order of `keys`
  std::vector<std::string> keys;

  // Returns null if there is no such member.
  const JsonNode* find(std::string_view key) const;

  // These throw JsonError if the member is missing. All but at() also throw if it has another kind.
  const JsonNode& at(std::string_view key) const;
  double number_at(std::string_view key) const;
  const std::string& text_at(std::string_view key) const;
  const JsonNode& array_at(std::string_view key) const;
  const JsonNode& object_at(std::string_view key) const;
};

// Parses the whole text. Throws JsonError.
JsonNode parse_json(const std::string& text);

}  // namespace firvalve::loadtest
