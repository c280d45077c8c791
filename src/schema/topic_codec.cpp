// Bulletins as JSON: in the record, and as clients tell them.
#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <limits>

#include "schema/registry.h"

namespace firvalve::schema {

namespace {

using Json = rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr const char* kTypes[] = {"bool", "int32", "int64", "float32", "float64", "text", "choice"};
constexpr const char* kStates[] = {"live", "deprecated", "gone"};

// Reads fields of one object; the first fault is kept, and names where it stands.
class Reading {
 public:
  Reading(const Json& of, std::string path, std::string& why) : of_(of), path_(std::move(path)), why_(why) {
    if (!of.IsObject()) fail("", "is no object");
  }
  bool good() const { return why_.empty(); }
  void fail(const std::string& name, const char* what) {
    if (why_.empty()) why_ = path_ + (path_.empty() || name.empty() ? "" : ".") + name + " " + what;
  }
  const Json* find(const char* name) const {
    if (!of_.IsObject()) return nullptr;
    const auto at = of_.FindMember(name);
    return at == of_.MemberEnd() ? nullptr : &at->value;
  }
  void text(const char* name, std::string& to, bool wanted = false) {
    const Json* const v = find(name);
    if (!v && wanted) return fail(name, "is missing");
    if (!v) return;
    if (!v->IsString()) return fail(name, "is no text");
    to.assign(v->GetString(), v->GetStringLength());
  }
  void flag(const char* name, bool& to) {
    const Json* const v = find(name);
    if (!v) return;
    if (!v->IsBool()) return fail(name, "is neither true nor false");
    to = v->GetBool();
  }
  template <class Number>
  void whole(const char* name, Number& to, bool wanted = false) {
    const Json* const v = find(name);
    if (!v && wanted) return fail(name, "is missing");
    if (!v) return;
    if (!v->IsUint64() || v->GetUint64() > std::numeric_limits<Number>::max())
      return fail(name, "is no number from 0 up");
    to = static_cast<Number>(v->GetUint64());
  }
  void amount(const char* name, std::optional<double>& to) {
    const Json* const v = find(name);
    if (!v) return;
    if (!v->IsNumber()) return fail(name, "is no number");
    to = v->GetDouble();
  }
  template <size_t N>
  size_t word(const char* name, const char* const (&words)[N], size_t otherwise) {
    std::string text;
    this->text(name, text);
    if (text.empty()) return otherwise;
    for (size_t i = 0; i < N; ++i)
      if (text == words[i]) return i;
    fail(name, "is none of the words that it may be");
    return otherwise;
  }
  void numbers(const char* name, std::set<uint32_t>& to) {
    each(name, [&](const Json& v, const std::string&) {
      if (!v.IsUint()) return fail(name, "is no list of numbers from 0 up");
      to.insert(v.GetUint());
    });
  }
  template <class Visit>
  void each(const char* name, Visit&& visit) {
    const Json* const v = find(name);
    if (!v) return;
    if (!v->IsArray()) return fail(name, "is no list");
    for (rapidjson::SizeType i = 0; i < v->Size() && good(); ++i)
      visit((*v)[i], fmt::format("{}{}{}[{}]", path_, path_.empty() ? "" : ".", name, i));
  }

 private:
  const Json& of_;
  const std::string path_;
  std::string& why_;
};

std::optional<Value> value_of(const Json& v, Type type) {
  switch (type) {
    case Type::kBool:
      return v.IsBool() ? std::optional<Value>(v.GetBool()) : std::nullopt;
    case Type::kText:
      return v.IsString() ? std::optional<Value>(std::string(v.GetString(), v.GetStringLength()))
                          : std::nullopt;
    case Type::kFloat32:
    case Type::kFloat64:
      return v.IsNumber() ? std::optional<Value>(v.GetDouble()) : std::nullopt;
    default:
      return v.IsInt64() ? std::optional<Value>(int64_t{v.GetInt64()}) : std::nullopt;
  }
}

Schema schema_of(const Json& json, const std::string& path, std::string& why) {
  Schema s;
  Reading r(json, path, why);
  r.text("order", s.order);
  r.each("fields", [&](const Json& v, const std::string& at) {
    Field f;
    Reading in(v, at, why);
    in.whole("number", f.number, true);
    in.text("name", f.name, true);
    f.type = static_cast<Type>(in.word("type", kTypes, static_cast<size_t>(Type::kText)));
    in.text("unit", f.unit);
    in.flag("required", f.required);
    in.amount("least", f.least);
    in.amount("most", f.most);
    in.each("choices", [&](const Json& c, const std::string& where) {
      Reading choice(c, where, why);
      uint32_t value = 0;
      std::string name;
      choice.whole("value", value, true);
      choice.text("name", name, true);
      if (!f.choices.emplace(value, name).second) choice.fail("value", "stands there twice");
    });
    if (const Json* const preset = in.find("preset")) {
      f.preset = value_of(*preset, f.type);
      if (!f.preset) in.fail("preset", "is not of the field's type");
    }
    s.fields.push_back(std::move(f));
    if (s.fields.size() > kFieldsMost) in.fail("", "is one field too many");
  });
  std::sort(s.fields.begin(), s.fields.end(),
            [](const Field& a, const Field& b) { return a.number < b.number; });
  r.each("key", [&](const Json& v, const std::string&) {
    if (!v.IsUint()) return r.fail("key", "is no list of field numbers");
    s.key.push_back(v.GetUint());
  });
  return s;
}

Declaration declaration_of(const Json& json, const std::string& path, std::string& why) {
  Declaration d;
  Reading r(json, path, why);
  r.text("subscriber", d.subscriber, true);
  r.text("site", d.site);
  r.numbers("versions", d.versions);
  r.numbers("reads", d.reads);
  r.numbers("leans", d.leans);
  r.flag("passes_unknown", d.passes_unknown);
  r.whole("holds_ms", d.holds_ms);
  r.whole("renewed", d.renewed);
  if (r.good() && d.subscriber.empty()) r.fail("subscriber", "is empty");
  return d;
}

void write(Writer& w, const Value& v) {
  std::visit(
      [&w](const auto& x) {
        using T = std::decay_t<decltype(x)>;
        if constexpr (std::is_same_v<T, bool>)
          w.Bool(x);
        else if constexpr (std::is_same_v<T, int64_t>)
          w.Int64(x);
        else if constexpr (std::is_same_v<T, double>)
          w.Double(x);
        else
          w.String(x.data(), static_cast<rapidjson::SizeType>(x.size()));
      },
      v);
}

void text(Writer& w, const char* name, const std::string& value) {
  w.Key(name);
  w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

template <class Numbers>
void numbers(Writer& w, const char* name, const Numbers& all) {
  w.Key(name);
  w.StartArray();
  for (const auto n : all) w.Uint64(n);
  w.EndArray();
}

void write(Writer& w, const Schema& s) {
  w.StartObject();
  text(w, "order", s.order);
  numbers(w, "key", s.key);
  w.Key("fields");
  w.StartArray();
  for (const Field& f : s.fields) {
    w.StartObject();
    w.Key("number");
    w.Uint(f.number);
    text(w, "name", f.name);
    text(w, "type", kTypes[static_cast<size_t>(f.type)]);
    if (!f.unit.empty()) text(w, "unit", f.unit);
    if (f.required) w.Key("required"), w.Bool(true);
    if (f.preset) w.Key("preset"), write(w, *f.preset);
    if (f.least) w.Key("least"), w.Double(*f.least);
    if (f.most) w.Key("most"), w.Double(*f.most);
    if (!f.choices.empty()) {
      w.Key("choices");
      w.StartArray();
      for (const auto& [value, name] : f.choices) {
        w.StartObject();
        w.Key("value");
        w.Int64(value);
        text(w, "name", name);
        w.EndObject();
      }
      w.EndArray();
    }
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
}

template <class Read>
auto parsed(const std::string& json, std::string& why, Read&& read) -> std::optional<decltype(read(Json()))> {
  why.clear();
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (d.HasParseError()) {
    why = "is no JSON";
    return {};
  }
  auto out = read(d);
  if (!why.empty()) return {};
  return out;
}

}  // namespace

std::string written(const Topic& bulletin) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  w.Key("versions");
  w.StartArray();
  for (const Version& v : bulletin.versions) {
    w.StartObject();
    w.Key("number");
    w.Uint(v.number);
    text(w, "state", kStates[static_cast<size_t>(v.state)]);
    w.Key("schema");
    write(w, v.schema);
    w.EndObject();
  }
  w.EndArray();
  w.Key("declarations");
  w.StartArray();
  for (const Declaration& d : bulletin.declarations) {
    w.StartObject();
    text(w, "subscriber", d.subscriber);
    text(w, "site", d.site);
    numbers(w, "versions", d.versions);
    numbers(w, "reads", d.reads);
    numbers(w, "leans", d.leans);
    if (d.passes_unknown) w.Key("passes_unknown"), w.Bool(true);
    w.Key("holds_ms");
    w.Uint64(d.holds_ms);
    w.Key("renewed");
    w.Uint64(d.renewed);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<Topic> read_bulletin(const std::string& json, std::string& why) {
  return parsed(json, why, [&why](const Json& in) {
    Topic out;
    Reading r(in, "", why);
    r.each("versions", [&](const Json& v, const std::string& at) {
      Version version;
      Reading each(v, at, why);
      each.whole("number", version.number, true);
      version.state = static_cast<State>(each.word("state", kStates, 0));
      if (const Json* const s = each.find("schema")) version.schema = schema_of(*s, at + ".schema", why);
      out.versions.push_back(std::move(version));
    });
    r.each("declarations", [&](const Json& v, const std::string& at) {
      out.declarations.push_back(declaration_of(v, at, why));
    });
    return out;
  });
}

std::optional<Schema> read_schema(const std::string& json, std::string& why) {
  return parsed(json, why, [&why](const Json& in) { return schema_of(in, "", why); });
}

std::optional<Declaration> read_declaration(const std::string& json, std::string& why) {
  return parsed(json, why, [&why](const Json& in) { return declaration_of(in, "", why); });
}

std::optional<Change> read_change(const std::string& json, std::string& why) {
  return parsed(json, why, [&why](const Json& in) {
    Change c;
    Reading r(in, "", why);
    r.whole("version", c.version);
    if (const Json* const s = r.find("schema")) c.schema = schema_of(*s, "schema", why);
    if (r.find("subscriber")) c.declaration = declaration_of(in, "", why);
    return c;
  });
}

std::string written(const Verdict& verdict) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartArray();
  for (const Violation& b : verdict.breaches) {
    w.StartObject();
    text(w, "rule", name_of(b.rule));
    w.Key("field");
    w.Uint(b.field);
    text(w, "what", b.what);
    w.Key("breaks");
    w.StartArray();
    for (const Reader& r : b.readers) {
      w.StartObject();
      text(w, "subscriber", r.subscriber);
      text(w, "site", r.site);
      w.Key("version");
      w.Uint(r.version);
      w.EndObject();
    }
    w.EndArray();
    w.Key("way_out");
    w.StartArray();
    for (const std::string& step : b.way_out)
      w.String(step.data(), static_cast<rapidjson::SizeType>(step.size()));
    w.EndArray();
    w.EndObject();
  }
  w.EndArray();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace firvalve::schema
