// Implements the JSON parser that keeps line numbers.
#include "loadtest/json_lines.h"

#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <cmath>

namespace firvalve::loadtest {
namespace {

using Kind = JsonNode::Kind;

int line_of(const std::string& text, size_t offset) {
  const size_t end = std::min(offset, text.size());
  return 1 +
         static_cast<int>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n'));
}

// Builds the tree from the reader's events. `open_` is the stack of unfinished arrays and objects.
class TreeBuilder : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, TreeBuilder> {
 public:
  TreeBuilder(const std::string& text, const rapidjson::StringStream& stream)
      : text_(text), stream_(stream) {}

  bool Null() { return add(here(Kind::kNull)); }
  bool Bool(bool) { return add(here(Kind::kBoolean)); }
  bool Int(int value) { return Double(value); }
  bool Uint(unsigned value) { return Double(value); }
  bool Int64(int64_t value) { return Double(static_cast<double>(value)); }
  bool Uint64(uint64_t value) { return Double(static_cast<double>(value)); }
  bool Double(double value) {
    JsonNode node = here(Kind::kNumber);
    node.number = value;
    return add(std::move(node));
  }
  bool String(const char* text, rapidjson::SizeType length, bool) {
    JsonNode node = here(Kind::kString);
    node.text.assign(text, length);
    return add(std::move(node));
  }
  bool Key(const char* text, rapidjson::SizeType length, bool) {
    open_.back().keys.emplace_back(text, length);
    return true;
  }
  bool StartObject() { return open(Kind::kObject); }
  bool EndObject(rapidjson::SizeType) { return close(); }
  bool StartArray() { return open(Kind::kArray); }
  bool EndArray(rapidjson::SizeType) { return close(); }

  JsonNode take() { return std::move(root_); }

 private:
  JsonNode here(Kind kind) const {
    JsonNode node;
    node.kind = kind;
    node.line = line_of(text_, stream_.Tell());
    return node;
  }
  bool open(Kind kind) {
    open_.push_back(here(kind));
    return true;
  }
  bool close() {
    JsonNode node = std::move(open_.back());
    open_.pop_back();
    return add(std::move(node));
  }
  bool add(JsonNode node) {
    if (open_.empty())
      root_ = std::move(node);
    else
      open_.back().items.push_back(std::move(node));
    return true;
  }

  const std::string& text_;
  const rapidjson::StringStream& stream_;
  std::vector<JsonNode> open_;
  JsonNode root_;
};

const JsonNode& of_kind(const JsonNode& node, std::string_view key, Kind kind, const char* kind_name) {
  if (node.kind != kind) throw JsonError(node.line, "\"" + std::string(key) + "\" is not " + kind_name);
  return node;
}

}  // namespace

JsonError::JsonError(int line, const std::string& why)
    : std::runtime_error("line " + std::to_string(line) + ": " + why) {}

const JsonNode* JsonNode::find(std::string_view key) const {
  const auto found = std::find(keys.begin(), keys.end(), key);
  return found == keys.end() ? nullptr : &items[static_cast<size_t>(found - keys.begin())];
}

const JsonNode& JsonNode::at(std::string_view key) const {
  const JsonNode* const found = find(key);
  if (!found) throw JsonError(line, "\"" + std::string(key) + "\" is missing");
  return *found;
}

double JsonNode::number_at(std::string_view key) const {
  return of_kind(at(key), key, Kind::kNumber, "a number").number;
}

const std::string& JsonNode::text_at(std::string_view key) const {
  return of_kind(at(key), key, Kind::kString, "a string").text;
}

const JsonNode& JsonNode::array_at(std::string_view key) const {
  return of_kind(at(key), key, Kind::kArray, "an array");
}

const JsonNode& JsonNode::object_at(std::string_view key) const {
  return of_kind(at(key), key, Kind::kObject, "an object");
}

JsonNode parse_json(const std::string& text) {
  rapidjson::StringStream stream(text.c_str());
  TreeBuilder builder(text, stream);
  rapidjson::Reader reader;
  const rapidjson::ParseResult result =
      reader.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag>(stream, builder);
  if (!result) throw JsonError(line_of(text, result.Offset()), rapidjson::GetParseError_En(result.Code()));
  return builder.take();
}

}  // namespace firvalve::loadtest
