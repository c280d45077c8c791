// Helpers for parsing JSON messages.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/reader.h>

#include <cstddef>
#include <cstdint>
#include <span>

namespace firvalve::proto {

// Returns null if the object has no such member.
inline const rapidjson::Value* find_member(const rapidjson::Value& object, const char* name) {
  const auto at = object.FindMember(name);
  return at == object.MemberEnd() ? nullptr : &at->value;
}

// A message with more values is rejected. A parsed value takes up to 64 times the bytes of its text, while no
// request or answer has more than a topic's schema of the largest message.
constexpr size_t kMaxJsonValues = 16384;

// Passes the tokens of a text to its document until there are too many values.
class BoundedDocumentHandler {
 public:
  explicit BoundedDocumentHandler(rapidjson::Document& document) : document_(document) {}

  bool Null() { return count() && document_.Null(); }
  bool Bool(bool value) { return count() && document_.Bool(value); }
  bool Int(int value) { return count() && document_.Int(value); }
  bool Uint(unsigned value) { return count() && document_.Uint(value); }
  bool Int64(int64_t value) { return count() && document_.Int64(value); }
  bool Uint64(uint64_t value) { return count() && document_.Uint64(value); }
  bool Double(double value) { return count() && document_.Double(value); }
  bool RawNumber(const char* text, rapidjson::SizeType length, bool copy) {
    return count() && document_.RawNumber(text, length, copy);
  }
  bool String(const char* text, rapidjson::SizeType length, bool copy) {
    return count() && document_.String(text, length, copy);
  }
  bool Key(const char* text, rapidjson::SizeType length, bool copy) {
    return document_.Key(text, length, copy);
  }
  bool StartObject() { return count() && document_.StartObject(); }
  bool EndObject(rapidjson::SizeType members) { return document_.EndObject(members); }
  bool StartArray() { return count() && document_.StartArray(); }
  bool EndArray(rapidjson::SizeType elements) { return document_.EndArray(elements); }

 private:
  bool count() { return ++values_ <= kMaxJsonValues; }

  rapidjson::Document& document_;
  size_t values_ = 0;
};

// Parses a message in place: this modifies the message, and strings of the document point into it. The parser
// needs a terminating NUL, so the byte after the message must be writable; it is restored afterwards.
inline bool parse_in_place(std::span<char> body, rapidjson::Document& message) {
  char& terminator = *(body.data() + body.size());
  const char original = terminator;
  terminator = '\0';
  bool is_parsed = false;
  const auto parse = [&](rapidjson::Document& document) {
    rapidjson::InsituStringStream text(body.data());
    BoundedDocumentHandler handler(document);
    rapidjson::Reader reader;
    is_parsed =
        !reader.Parse<rapidjson::kParseInsituFlag | rapidjson::kParseIterativeFlag>(text, handler).IsError();
    return is_parsed;
  };
  message.Populate(parse);
  terminator = original;
  return is_parsed;
}

}  // namespace firvalve::proto
