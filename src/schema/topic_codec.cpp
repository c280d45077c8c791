#include "schema/topic_codec.h"

#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <limits>

#include "schema/field_values.h"

namespace firvalve::schema {

namespace {

using Json = rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr const char* kStates[] = {"live", "deprecated", "gone"};  // indexed by State

// Reads the members of one JSON object. Only the first error is kept; it names the path of the member. A
// missing member leaves the target unchanged.
class ObjectReader {
 public:
  enum class Presence : uint8_t { kOptional, kRequired };

  ObjectReader(const Json& object, std::string path, std::string& error)
      : object_(object), path_(std::move(path)), error_(error) {
    if (!object.IsObject()) fail("", "is no object");
  }
  bool is_valid() const { return error_.empty(); }
  void fail(const std::string& name, const char* problem) {
    if (error_.empty()) error_ = path_ + (path_.empty() || name.empty() ? "" : ".") + name + " " + problem;
  }
  const Json* find(const char* name) const {  // null if the member is missing
    if (!object_.IsObject()) return nullptr;
    const auto member = object_.FindMember(name);
    return member == object_.MemberEnd() ? nullptr : &member->value;
  }
  void read_text(const char* name, std::string& target, Presence presence = Presence::kOptional) {
    const Json* const value = find(name, presence);
    if (!value) return;
    if (!value->IsString()) return fail(name, "is no text");
    target.assign(value->GetString(), value->GetStringLength());
  }
  void read_bool(const char* name, bool& target) {
    const Json* const value = find(name);
    if (!value) return;
    if (!value->IsBool()) return fail(name, "is neither true nor false");
    target = value->GetBool();
  }
  template <class Number>
  void read_unsigned(const char* name, Number& target, Presence presence = Presence::kOptional) {
    const Json* const value = find(name, presence);
    if (!value) return;
    if (!value->IsUint64() || value->GetUint64() > std::numeric_limits<Number>::max())
      return fail(name, "is no number from 0 up");
    target = static_cast<Number>(value->GetUint64());
  }
  void read_number(const char* name, std::optional<double>& target) {
    const Json* const value = find(name);
    if (!value) return;
    if (!value->IsNumber()) return fail(name, "is no number");
    target = value->GetDouble();
  }
  // Returns the index of the member's text in `names`, or `fallback` if it is missing or empty. An unknown
  // name is an error.
  template <size_t N>
  size_t read_enum(const char* name, const char* const (&names)[N], size_t fallback) {
    std::string text;
    read_text(name, text);
    if (text.empty()) return fallback;
    for (size_t index = 0; index < N; ++index)
      if (text == names[index]) return index;
    fail(name, "is none of the words that it may be");
    return fallback;
  }
  void read_numbers(const char* name, std::set<uint32_t>& target) {
    read_each(name, [&](const Json& value, const std::string&) {
      if (!value.IsUint()) return fail(name, "is no list of numbers from 0 up");
      target.insert(value.GetUint());
    });
  }
  // Calls visit(element, path of the element) until the first error.
  template <class Visit>
  void read_each(const char* name, Visit&& visit) {
    const Json* const value = find(name);
    if (!value) return;
    if (!value->IsArray()) return fail(name, "is no list");
    for (rapidjson::SizeType i = 0; i < value->Size() && is_valid(); ++i)
      visit((*value)[i], fmt::format("{}{}{}[{}]", path_, path_.empty() ? "" : ".", name, i));
  }

 private:
  const Json* find(const char* name, Presence presence) {
    const Json* const value = find(name);
    if (!value && presence == Presence::kRequired) fail(name, "is missing");
    return value;
  }

  const Json& object_;
  const std::string path_;
  std::string& error_;
};

constexpr auto kRequired = ObjectReader::Presence::kRequired;

std::optional<Value> parse_value(const Json& json, Type type) {
  switch (type) {
    case Type::kBool:
      return json.IsBool() ? std::optional<Value>(json.GetBool()) : std::nullopt;
    case Type::kText:
      return json.IsString() ? std::optional<Value>(std::string(json.GetString(), json.GetStringLength()))
                             : std::nullopt;
    case Type::kFloat32:
    case Type::kFloat64:
      return json.IsNumber() ? std::optional<Value>(json.GetDouble()) : std::nullopt;
    default:
      return json.IsInt64() ? std::optional<Value>(int64_t{json.GetInt64()}) : std::nullopt;
  }
}

void read_choice(const Json& json, const std::string& path, std::string& error, Field& field) {
  ObjectReader reader(json, path, error);
  uint32_t value = 0;
  std::string name;
  reader.read_unsigned("value", value, kRequired);
  reader.read_text("name", name, kRequired);
  if (!field.choices.emplace(value, name).second) reader.fail("value", "stands there twice");
}

Field read_field(const Json& json, const std::string& path, std::string& error) {
  Field field;
  ObjectReader reader(json, path, error);
  reader.read_unsigned("number", field.number, kRequired);
  reader.read_text("name", field.name, kRequired);
  field.type = static_cast<Type>(reader.read_enum("type", kTypeNames, static_cast<size_t>(Type::kText)));
  reader.read_text("unit", field.unit);
  reader.read_bool("required", field.required);
  reader.read_number("least", field.min);
  reader.read_number("most", field.max);
  reader.read_each("choices", [&](const Json& choice, const std::string& choice_path) {
    read_choice(choice, choice_path, error, field);
  });
  if (const Json* const default_value = reader.find("preset")) {
    field.default_value = parse_value(*default_value, field.type);
    if (!field.default_value) reader.fail("preset", "is not of the field's type");
  }
  return field;
}

Schema read_schema(const Json& json, const std::string& path, std::string& error) {
  Schema schema;
  ObjectReader reader(json, path, error);
  reader.read_text("order", schema.order);
  reader.read_each("fields", [&](const Json& field, const std::string& field_path) {
    schema.fields.push_back(read_field(field, field_path, error));
    if (schema.fields.size() > kMaxFields && error.empty()) error = field_path + " is one field too many";
  });
  std::sort(schema.fields.begin(), schema.fields.end(),
            [](const Field& left, const Field& right) { return left.number < right.number; });
  reader.read_each("key", [&](const Json& number, const std::string&) {
    if (!number.IsUint()) return reader.fail("key", "is no list of field numbers");
    schema.key.push_back(number.GetUint());
  });
  return schema;
}

Declaration read_declaration(const Json& json, const std::string& path, std::string& error) {
  Declaration declaration;
  ObjectReader reader(json, path, error);
  reader.read_text("subscriber", declaration.subscriber, kRequired);
  reader.read_text("site", declaration.site);
  reader.read_numbers("versions", declaration.versions);
  reader.read_numbers("reads", declaration.reads);
  reader.read_numbers("leans", declaration.relies_on_defaults);
  reader.read_bool("passes_unknown", declaration.ignores_unknown_choices);
  reader.read_unsigned("holds_ms", declaration.expires_after_ms);
  reader.read_unsigned("renewed", declaration.renewals);
  if (reader.is_valid() && declaration.subscriber.empty()) reader.fail("subscriber", "is empty");
  return declaration;
}

void write_text(Writer& writer, const std::string& text) {
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void write_text(Writer& writer, const char* name, const std::string& text) {
  writer.Key(name);
  write_text(writer, text);
}

void write_number(Writer& writer, const char* name, uint64_t number) {
  writer.Key(name);
  writer.Uint64(number);
}

template <class Numbers>
void write_numbers(Writer& writer, const char* name, const Numbers& numbers) {
  writer.Key(name);
  writer.StartArray();
  for (const auto number : numbers) writer.Uint64(number);
  writer.EndArray();
}

template <class Elements, class Write>
void write_each(Writer& writer, const Elements& elements, Write&& write) {
  writer.StartArray();
  for (const auto& element : elements) write(element);
  writer.EndArray();
}

void write(Writer& writer, const Value& value) {
  std::visit(
      [&writer](const auto& content) {
        using Content = std::decay_t<decltype(content)>;
        if constexpr (std::is_same_v<Content, bool>)
          writer.Bool(content);
        else if constexpr (std::is_same_v<Content, int64_t>)
          writer.Int64(content);
        else if constexpr (std::is_same_v<Content, double>)
          writer.Double(content);
        else
          write_text(writer, content);
      },
      value);
}

void write(Writer& writer, const Field& field) {
  writer.StartObject();
  write_number(writer, "number", field.number);
  write_text(writer, "name", field.name);
  write_text(writer, "type", name_of(field.type));
  if (!field.unit.empty()) write_text(writer, "unit", field.unit);
  if (field.required) writer.Key("required"), writer.Bool(true);
  if (field.default_value) writer.Key("preset"), write(writer, *field.default_value);
  if (field.min) writer.Key("least"), writer.Double(*field.min);
  if (field.max) writer.Key("most"), writer.Double(*field.max);
  if (!field.choices.empty()) {
    writer.Key("choices");
    write_each(writer, field.choices, [&](const auto& choice) {
      writer.StartObject();
      writer.Key("value");
      writer.Int64(choice.first);
      write_text(writer, "name", choice.second);
      writer.EndObject();
    });
  }
  writer.EndObject();
}

void write(Writer& writer, const Schema& schema) {
  writer.StartObject();
  write_text(writer, "order", schema.order);
  write_numbers(writer, "key", schema.key);
  writer.Key("fields");
  write_each(writer, schema.fields, [&](const Field& field) { write(writer, field); });
  writer.EndObject();
}

void write(Writer& writer, const Version& version) {
  writer.StartObject();
  write_number(writer, "number", version.number);
  write_text(writer, "state", kStates[static_cast<size_t>(version.state)]);
  writer.Key("schema");
  write(writer, version.schema);
  writer.EndObject();
}

void write(Writer& writer, const Declaration& declaration) {
  writer.StartObject();
  write_text(writer, "subscriber", declaration.subscriber);
  write_text(writer, "site", declaration.site);
  write_numbers(writer, "versions", declaration.versions);
  write_numbers(writer, "reads", declaration.reads);
  write_numbers(writer, "leans", declaration.relies_on_defaults);
  if (declaration.ignores_unknown_choices) writer.Key("passes_unknown"), writer.Bool(true);
  write_number(writer, "holds_ms", declaration.expires_after_ms);
  write_number(writer, "renewed", declaration.renewals);
  writer.EndObject();
}

void write(Writer& writer, const Reader& reader) {
  writer.StartObject();
  write_text(writer, "subscriber", reader.subscriber);
  write_text(writer, "site", reader.site);
  write_number(writer, "version", reader.version);
  writer.EndObject();
}

void write(Writer& writer, const Violation& violation) {
  writer.StartObject();
  write_text(writer, "rule", name_of(violation.rule));
  write_number(writer, "field", violation.field);
  write_text(writer, "what", violation.description);
  writer.Key("breaks");
  write_each(writer, violation.readers, [&](const Reader& reader) { write(writer, reader); });
  writer.Key("way_out");
  write_each(writer, violation.remedy, [&](const std::string& step) { write_text(writer, step); });
  writer.EndObject();
}

// Parses the JSON and calls `read` with its root. Returns nothing if it is not valid JSON or if `read` sets
// an error.
template <class Read>
auto decode(const std::string& json, std::string& error, Read&& read)
    -> std::optional<decltype(read(Json()))> {
  error.clear();
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError()) {
    error = "is no JSON";
    return {};
  }
  auto out = read(document);
  if (!error.empty()) return {};
  return out;
}

}  // namespace

std::string encode(const Topic& topic) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("versions");
  write_each(writer, topic.versions, [&](const Version& version) { write(writer, version); });
  writer.Key("declarations");
  write_each(writer, topic.declarations, [&](const Declaration& declaration) { write(writer, declaration); });
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string encode(const Verdict& verdict) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  write_each(writer, verdict.violations, [&](const Violation& violation) { write(writer, violation); });
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<Topic> decode_topic(const std::string& json, std::string& error) {
  return decode(json, error, [&error](const Json& root) {
    Topic topic;
    ObjectReader reader(root, "", error);
    reader.read_each("versions", [&](const Json& element, const std::string& path) {
      Version version;
      ObjectReader member(element, path, error);
      member.read_unsigned("number", version.number, kRequired);
      version.state = static_cast<State>(member.read_enum("state", kStates, 0));
      if (const Json* const schema = member.find("schema"))
        version.schema = read_schema(*schema, path + ".schema", error);
      topic.versions.push_back(std::move(version));
    });
    reader.read_each("declarations", [&](const Json& element, const std::string& path) {
      topic.declarations.push_back(read_declaration(element, path, error));
    });
    return topic;
  });
}

std::optional<Schema> decode_schema(const std::string& json, std::string& error) {
  return decode(json, error, [&error](const Json& root) { return read_schema(root, "", error); });
}

std::optional<Declaration> decode_declaration(const std::string& json, std::string& error) {
  return decode(json, error, [&error](const Json& root) { return read_declaration(root, "", error); });
}

std::optional<Change> decode_change(const std::string& json, std::string& error) {
  return decode(json, error, [&error](const Json& root) {
    Change change;
    ObjectReader reader(root, "", error);
    reader.read_unsigned("version", change.version);
    if (const Json* const schema = reader.find("schema"))
      change.schema = read_schema(*schema, "schema", error);
    if (reader.find("subscriber")) change.declaration = read_declaration(root, "", error);
    return change;
  });
}

}  // namespace firvalve::schema
