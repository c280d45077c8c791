// Parses and checks the operator's configuration file.
#include "config/operator_config.h"

#include <fmt/format.h>
#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <utility>
#include <variant>

#include "config/cluster_checks.h"
#include "config/fields.h"

namespace firvalve::config {
namespace {

std::string unknown_field(const std::string& path) {
  if (const Field* closest = closest_field(path))
    return fmt::format("unknown field; did you mean {}?", closest->path);
  return "unknown field";
}

// Handles the events of the JSON parser: stores the values of fields and collects diagnostics. It continues
// after an error, so that one pass finds all errors; its functions therefore always return true. It derives
// the current line from the position of the stream that the parser reads.
class ConfigHandler : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, ConfigHandler> {
 public:
  ConfigHandler(std::string_view text, const rapidjson::MemoryStream& stream, ParsedConfig& config)
      : text_(text), stream_(stream), config_(config) {}

  int line_at(size_t offset) const {
    const size_t end = std::min(offset, text_.size());
    return 1 + static_cast<int>(std::count(text_.begin(), text_.begin() + static_cast<long>(end), '\n'));
  }

  bool StartObject() {
    if (list_depth_ > 0) return reject_list_entry();
    if (object_depth_ > 0 && !is_section(path())) {
      if (const Field* field = find_field(path()))
        add_diagnostic(DiagnosticCode::kWrongType,
                       "expected a value, not an object: " + field->expectation());
      else
        add_diagnostic(DiagnosticCode::kUnknownField, unknown_field(path()));
    }
    ++object_depth_;
    keys_.emplace_back();
    return true;
  }
  bool EndObject(rapidjson::SizeType) {
    if (list_depth_ > 0) return true;
    --object_depth_;
    keys_.pop_back();
    return true;
  }
  bool Key(const char* text, rapidjson::SizeType length, bool) {
    if (list_depth_ > 0) return true;
    keys_.back().assign(text, length);
    if (!seen_.insert(path()).second) add_diagnostic(DiagnosticCode::kDuplicateField, "is set twice");
    config_.lines.emplace(path(), line_at(stream_.Tell()));
    is_list_entry_rejected_ = false;
    return true;
  }
  bool StartArray() {
    if (list_depth_++ > 0) {
      if (list_) reject_list_entry();
      return true;
    }
    const Field* const field = object_depth_ == 0 ? nullptr : find_field(path());
    list_ = field ? target_of<std::vector<std::string>>(*field) : nullptr;
    if (list_) {
      list_->clear();
    } else if (object_depth_ == 0) {
      add_diagnostic(DiagnosticCode::kNotAnObject, "expected one object in braces for the whole file");
    } else {
      add_diagnostic(DiagnosticCode::kWrongType, "expected a single value, not a list");
    }
    return true;
  }
  bool EndArray(rapidjson::SizeType) {
    if (--list_depth_ == 0) list_ = nullptr;
    return true;
  }
  bool Null() { return reject_value(DiagnosticCode::kWrongType, "expected a value, not null"); }
  bool Bool(bool value) {
    if (list_depth_ > 0) return reject_list_entry();
    const Field* const field = field_for_value();
    if (!field) return true;
    bool* const target = target_of<bool>(*field);
    if (!target) return reject_type(*field);
    *target = value;
    return true;
  }
  bool Int(int value) { return store_number(value); }
  bool Uint(unsigned value) { return store_number(value); }
  bool Int64(int64_t value) { return store_number(static_cast<double>(value)); }
  bool Uint64(uint64_t value) { return store_number(static_cast<double>(value)); }
  bool Double(double value) { return store_number(value); }
  bool String(const char* text, rapidjson::SizeType length, bool) {
    if (list_ && list_depth_ == 1) {
      list_->emplace_back(text, length);
      return true;
    }
    if (list_depth_ > 0) return true;
    const Field* const field = field_for_value();
    if (!field) return true;
    std::string* const target = target_of<std::string>(*field);
    if (!target) return reject_type(*field);
    const std::string value(text, length);
    const auto& words = field->allowed_words;
    if (!words.empty() && std::find(words.begin(), words.end(), value) == words.end())
      return reject_value(DiagnosticCode::kNotAllowed, "expected " + field->expectation());
    *target = value;
    return true;
  }

 private:
  std::string path() const {
    std::string path;
    for (const std::string& key : keys_)
      if (!key.empty()) path += (path.empty() ? "" : ".") + key;
    return path;
  }

  // Returns the field that the current value is for. If there is none, adds a diagnostic and returns null.
  const Field* field_for_value() {
    if (object_depth_ == 0) {
      add_diagnostic(DiagnosticCode::kNotAnObject, "expected one object in braces for the whole file");
      return nullptr;
    }
    const Field* const field = find_field(path());
    if (!field) {
      if (is_section(path()))
        add_diagnostic(DiagnosticCode::kNotAnObject, "expected an object in braces");
      else
        add_diagnostic(DiagnosticCode::kUnknownField, unknown_field(path()));
    }
    return field;
  }

  // Returns the variable for a value of this type, or null if the field has another type.
  template <class T>
  T* target_of(const Field& field) {
    const FieldTarget target = field.target(config_.values);
    T* const* const typed = std::get_if<T*>(&target);
    return typed ? *typed : nullptr;
  }

  bool store_number(double value) {
    if (list_depth_ > 0) return reject_list_entry();
    const Field* const field = field_for_value();
    if (!field) return true;
    double* const target = target_of<double>(*field);
    if (!target) return reject_type(*field);
    const Field::Range& range = field->range;
    if (!(value >= range.min && value <= range.max))
      return reject_value(
          DiagnosticCode::kOutOfRange,
          fmt::format("{} is not within {} to {}: {}", value, range.min, range.max, field->expectation()));
    if (range.is_integer && value != static_cast<double>(static_cast<int64_t>(value)))
      return reject_value(DiagnosticCode::kOutOfRange,
                          fmt::format("{} is not a whole number: {}", value, field->expectation()));
    *target = value;
    return true;
  }

  bool reject_type(const Field& field) {
    return reject_value(DiagnosticCode::kWrongType, "expected " + field.expectation());
  }
  bool reject_value(DiagnosticCode code, std::string message) {
    if (list_depth_ > 0) return reject_list_entry();
    add_diagnostic(code, std::move(message));
    return true;
  }
  // A list may contain only strings. Adds at most one diagnostic per list.
  bool reject_list_entry() {
    if (list_ && !std::exchange(is_list_entry_rejected_, true))
      add_diagnostic(DiagnosticCode::kWrongType,
                     "each entry must be a string; expected " + find_field(path())->expectation());
    return true;
  }

  void add_diagnostic(DiagnosticCode code, std::string message) {
    config_.diagnostics.push_back({code, line_at(stream_.Tell()), path(), std::move(message)});
  }

  std::string_view text_;
  const rapidjson::MemoryStream& stream_;
  ParsedConfig& config_;
  std::vector<std::string> keys_;  // of the objects that enclose the current value
  std::set<std::string> seen_;     // paths of the keys read so far
  int object_depth_ = 0, list_depth_ = 0;
  std::vector<std::string>* list_ = nullptr;  // stores the strings of the current list
  bool is_list_entry_rejected_ = false;
};

}  // namespace

ParsedConfig parse_operator_config(std::string_view text) {
  constexpr unsigned kFlags = rapidjson::kParseCommentsFlag | rapidjson::kParseTrailingCommasFlag |
                              rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;
  ParsedConfig config;
  rapidjson::MemoryStream stream(text.data(), text.size());
  ConfigHandler handler(text, stream, config);
  rapidjson::Reader reader;
  const rapidjson::ParseResult result = reader.Parse<kFlags>(stream, handler);
  if (result.IsError()) {
    config.diagnostics.push_back({DiagnosticCode::kSyntaxError,
                                  handler.line_at(result.Offset()),
                                  {},
                                  rapidjson::GetParseError_En(result.Code())});
  } else if (config.is_valid()) {
    check_cluster_section(config);
  }
  return config;
}

ParsedConfig load_operator_config(const std::string& file) {
  constexpr size_t kMaxFileBytes = size_t{16} * 1024 * 1024;  // larger than any hand-written file
  const auto unusable = [](DiagnosticCode code, const char* message) {
    ParsedConfig config;
    config.diagnostics.push_back({code, std::nullopt, {}, message});
    return config;
  };
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return unusable(DiagnosticCode::kUnreadableFile, "cannot be read");
  std::string text;
  char buffer[65536];
  while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
    text.append(buffer, static_cast<size_t>(stream.gcount()));
    if (text.size() > kMaxFileBytes) return unusable(DiagnosticCode::kFileTooLarge, "is larger than 16 MB");
  }
  return parse_operator_config(text);
}

std::string format_diagnostic(const std::string& file, const Diagnostic& diagnostic) {
  std::string line = file;
  if (diagnostic.line) line += fmt::format(":{}", *diagnostic.line);
  if (!diagnostic.path.empty()) line += ": " + diagnostic.path;
  return line + ": " + diagnostic.message;
}

}  // namespace firvalve::config
