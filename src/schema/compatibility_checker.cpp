#include "schema/check.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace firvalve::schema {

namespace {

bool number(Type t) {
  return t == Type::kInt32 || t == Type::kInt64 || t == Type::kFloat32 || t == Type::kFloat64;
}

const char* name_of(Type t) {
  static const char* const kNames[] = {"bool", "int32", "int64", "float32", "float64", "text", "choice"};
  return kNames[static_cast<size_t>(t)];
}

// Whether every value of the one is a value of the other, as it is. A float64 holds each int32, no int64 past
// 2^53; a float32 holds integers to 2^24 alone.
bool holds(Type wide, Type narrow) {
  if (wide == narrow) return true;
  switch (wide) {
    case Type::kInt64:
      return narrow == Type::kInt32;
    case Type::kFloat64:
      return narrow == Type::kInt32 || narrow == Type::kFloat32;
    default:
      return false;
  }
}

struct Span {
  double least, most;
  bool within(const Span& o) const { return least >= o.least && most <= o.most; }
};

Span span_of(Type t) {
  switch (t) {
    case Type::kInt32:
      return {-2147483648.0, 2147483647.0};
    case Type::kInt64:
      return {-9223372036854775808.0, 9223372036854775807.0};
    case Type::kFloat32:
      return {-std::numeric_limits<float>::max(), std::numeric_limits<float>::max()};
    case Type::kText:
      return {0, std::numeric_limits<double>::infinity()};
    default:
      return {-std::numeric_limits<double>::infinity(), std::numeric_limits<double>::infinity()};
  }
}

// What values a field may have; of a text its length.
Span span_of(const Field& f) {
  Span s = span_of(f.type);
  if (f.least) s.least = std::max(s.least, *f.least);
  if (f.most) s.most = std::min(s.most, *f.most);
  return s;
}

bool integers(Type t) { return t == Type::kInt32 || t == Type::kInt64; }

// Whether what may come as `from` can be held as `to`: by its type, or because its range is small enough.
bool convertible(const Field& from, const Field& to) {
  if (holds(to.type, from.type)) return true;
  if (!number(from.type) || !number(to.type) || !integers(from.type)) return false;
  const Span s = span_of(from);
  switch (to.type) {
    case Type::kInt32:
      return s.within(span_of(Type::kInt32));
    case Type::kInt64:
      return true;
    case Type::kFloat32:
      return s.within({-16777216, 16777216});
    case Type::kFloat64:
      return s.within({-9007199254740992.0, 9007199254740992.0});
    default:
      return false;
  }
}

std::string shown(const std::optional<Value>& v) {
  if (!v) return "nothing";
  return std::visit(
      [](const auto& x) {
        if constexpr (std::is_same_v<std::decay_t<decltype(x)>, std::string>)
          return fmt::format("\"{}\"", x);
        else
          return fmt::format("{}", x);
      },
      *v);
}

std::string shown(const Field& f) { return fmt::format("{} ({})", f.name, f.number); }

// A value of this type, within the field's range; of choices only known ones.
std::string value_fault(const Field& f, const Value& v) {
  const bool right = f.type == Type::kBool                         ? std::holds_alternative<bool>(v)
                     : f.type == Type::kText                       ? std::holds_alternative<std::string>(v)
                     : integers(f.type) || f.type == Type::kChoice ? std::holds_alternative<int64_t>(v)
                                                                   : std::holds_alternative<double>(v);
  if (!right) return fmt::format("{} is no {}", shown(f), name_of(f.type));
  if (f.type == Type::kChoice)
    return f.choices.count(std::get<int64_t>(v))
               ? ""
               : fmt::format("{} has no choice {}", shown(f), std::get<int64_t>(v));
  if (f.type == Type::kBool) return "";
  const Span s = span_of(f);
  const double amount = f.type == Type::kText ? static_cast<double>(std::get<std::string>(v).size())
                        : std::holds_alternative<double>(v) ? std::get<double>(v)
                                                            : static_cast<double>(std::get<int64_t>(v));
  // Written so that a value that is no number is out of range, too.
  if (!(amount >= s.least && amount <= s.most)) return fmt::format("{} is out of its range", shown(f));
  return "";
}

// Steps that end a breach which readers stand behind.
std::vector<std::string> beside(const std::string& field) {
  return {fmt::format("add a new field beside {}, and publish both", field),
          "let the subscribers named declare versions that read the new one",
          fmt::format("then leave {} out", field)};
}

void malformed(const Schema& s, std::vector<Violation>& out) {
  const auto breach = [&out](uint32_t field, std::string what) {
    out.push_back({Rule::kMalformed, field, std::move(what), {}, {}});
  };
  std::set<std::string> names;
  uint32_t last = 0;
  for (const Field& f : s.fields) {
    if (f.number == 0 || f.number <= last)
      breach(f.number, fmt::format("numbers go up from 1; {} follows {}", f.number, last));
    last = std::max(last, f.number);
    if (f.name.empty()) breach(f.number, fmt::format("field {} has no name", f.number));
    if (!names.insert(f.name).second) breach(f.number, fmt::format("the name {} stands twice", f.name));
    if ((f.type == Type::kChoice) != !f.choices.empty())
      breach(f.number,
             fmt::format("{}: choices belong to a field of type choice, which has at least one", shown(f)));
    std::set<std::string> choices;
    for (const auto& [value, name] : f.choices)
      if (!choices.insert(name).second)
        breach(f.number, fmt::format("{}: the choice {} stands twice", shown(f), name));
    if ((f.least || f.most) && !number(f.type) && f.type != Type::kText)
      breach(f.number, fmt::format("{} has a range and is neither a number nor a text", shown(f)));
    if (span_of(f).least > span_of(f).most) breach(f.number, fmt::format("{} has an empty range", shown(f)));
    if (!f.unit.empty() && !number(f.type))
      breach(f.number, fmt::format("{} has a unit and is no number", shown(f)));
    if (f.preset)
      if (const std::string fault = value_fault(f, *f.preset); !fault.empty())
        breach(f.number, fmt::format("its preset: {}", fault));
  }
  for (const uint32_t k : s.key) {
    const Field* const f = s.find(k);
    if (!f)
      breach(k, fmt::format("the key names field {}, which is not there", k));
    else if (!f->required)
      breach(k, fmt::format("{} is in the key and so has to be required", shown(*f)));
  }
  if (s.order != "number" && s.order != "key") breach(0, "order is \"number\" or \"key\"");
}

void merge(std::vector<Violation>& into, const Violation& b) {
  const auto same = std::find_if(into.begin(), into.end(), [&](const Violation& o) {
    return o.rule == b.rule && o.field == b.field && o.what == b.what;
  });
  if (same == into.end()) {
    into.push_back(b);
    return;
  }
  same->readers.insert(same->readers.end(), b.readers.begin(), b.readers.end());
}

Verdict sorted(std::vector<Violation> all) {
  for (Violation& b : all) {
    std::sort(b.readers.begin(), b.readers.end());
    b.readers.erase(std::unique(b.readers.begin(), b.readers.end()), b.readers.end());
  }
  std::sort(all.begin(), all.end(), [](const Violation& a, const Violation& b) {
    return std::tie(a.rule, a.field, a.what) < std::tie(b.rule, b.field, b.what);
  });
  return {std::move(all)};
}

// Once and for all: what a number and a name, and a choice's number, have meant in any version.
void meanings(const Topic& bulletin, const Schema& s, std::vector<Violation>& out) {
  std::map<uint32_t, std::string> by_number;
  std::map<std::string, uint32_t> by_name;
  std::map<std::pair<uint32_t, int64_t>, std::string> choices;
  for (const Version& v : bulletin.versions)
    for (const Field& f : v.schema.fields) {
      by_number.emplace(f.number, f.name);
      by_name.emplace(f.name, f.number);
      for (const auto& [value, name] : f.choices) choices.emplace(std::pair(f.number, value), name);
    }
  for (const Field& f : s.fields) {
    const auto number = by_number.find(f.number);
    if (number != by_number.end() && number->second != f.name)
      out.push_back({Rule::kNumberReused,
                     f.number,
                     fmt::format("{} has always been {}", f.number, number->second),
                     {},
                     {fmt::format("give {} a number that no version has used", f.name)}});
    const auto name = by_name.find(f.name);
    if (name != by_name.end() && name->second != f.number)
      out.push_back({Rule::kNameReused,
                     f.number,
                     fmt::format("{} has always been field {}", f.name, name->second),
                     {},
                     {fmt::format("give field {} a name that no version has used", f.number)}});
    for (const auto& [value, choice] : f.choices) {
      const auto before = choices.find({f.number, value});
      if (before != choices.end() && before->second != choice)
        out.push_back({Rule::kChoiceReused,
                       f.number,
                       fmt::format("{}: {} has always been {}", shown(f), value, before->second),
                       {},
                       {fmt::format("give {} a value that no version has used", choice)}});
    }
  }
}

// The versions that a declaration can be served in, the newest first: it speaks them, they are there, and
// they have all that it reads.
std::vector<const Version*> spoken(const Topic& bulletin, const Declaration& d) {
  std::vector<const Version*> out;
  for (auto v = d.versions.rbegin(); v != d.versions.rend(); ++v) {
    const Version* const version = bulletin.find(*v);
    if (!version || version->state == State::kGone) continue;
    if (std::all_of(d.reads.begin(), d.reads.end(),
                    [&](const uint32_t f) { return version->schema.find(f) != nullptr; }))
      out.push_back(version);
  }
  return out;
}

}  // namespace

const char* name_of(Rule rule) {
  static const char* const kNames[] = {
      "malformed",     "number_reused",  "name_reused",  "taken_away",      "made_optional",  "type_narrowed",
      "unit_changed",  "range_widened",  "choice_added", "choice_reused",   "preset_changed", "key_changed",
      "order_changed", "required_added", "still_spoken", "no_such_version", "no_such_field"};
  return kNames[static_cast<size_t>(rule)];
}

const Field* Schema::find(uint32_t number) const {
  const auto at = std::lower_bound(fields.begin(), fields.end(), number,
                                   [](const Field& f, uint32_t n) { return f.number < n; });
  return at != fields.end() && at->number == number ? &*at : nullptr;
}

const Version* Topic::find(uint32_t number) const {
  const auto at =
      std::find_if(versions.begin(), versions.end(), [&](const Version& v) { return v.number == number; });
  return at != versions.end() ? &*at : nullptr;
}

std::vector<Violation> between(const Schema& from, const Schema& to, const Declaration& reader) {
  std::vector<Violation> out;
  const auto breach = [&out](Rule rule, uint32_t field, std::string what, std::vector<std::string> way_out) {
    out.push_back({rule, field, std::move(what), {}, std::move(way_out)});
  };
  if (from.key != to.key)
    breach(Rule::kKeyChanged, 0, "the key is of other fields", {"begin another bulletin with the new key"});
  // One order for all is an order for each key as well, not the other way round.
  if (from.order != to.order && to.order == "number")
    breach(Rule::kOrderChanged, 0, "one order for all is given up for one of each key",
           {"begin another bulletin with the new order"});
  for (const uint32_t number : reader.reads) {
    const Field* const read = to.find(number);
    if (!read) continue;
    const Field& r = *read;
    const Field* const w = from.find(number);
    if (!w || w->name != r.name) {
      breach(Rule::kTakenAway, r.number, fmt::format("{} is not there any more", shown(r)),
             {fmt::format("keep {} until the subscribers named have declared versions without it", r.name)});
      continue;
    }
    if (r.required && !w->required && !w->preset)
      breach(Rule::kMadeOptional, r.number,
             fmt::format("{} may be missing, and nothing stands for it", shown(r)),
             {fmt::format("give {} a preset, or keep it required until the subscribers named do without",
                          r.name)});
    if (!convertible(*w, r)) {
      breach(Rule::kTypeNarrowed, r.number,
             fmt::format("{} comes as {} and is read as {}", shown(r), name_of(w->type), name_of(r.type)),
             beside(r.name));
      continue;
    }
    if (w->unit != r.unit)
      breach(Rule::kUnitChanged, r.number,
             fmt::format("{} comes in \"{}\" and is read in \"{}\"", shown(r), w->unit, r.unit),
             beside(r.name));
    const Span theirs = span_of(*w), ours = span_of(r);
    // Where only the type of integers is wider, convertible() has looked at what may come.
    const bool wider = w->type == r.type || w->type == Type::kText
                           ? !theirs.within(ours)
                           : (r.least && theirs.least < *r.least) || (r.most && theirs.most > *r.most);
    if (wider && r.type != Type::kChoice && r.type != Type::kBool)
      breach(Rule::kRangeWidened, r.number, fmt::format("{} may come past what is read", shown(r)),
             {fmt::format("keep {} within its range, or", r.name),
              "add a new field beside it with the wider one",
              "let the subscribers named declare versions that read that"});
    if (r.type == Type::kChoice && !reader.passes_unknown)
      for (const auto& [value, name] : w->choices)
        if (!r.choices.count(value))
          breach(Rule::kChoiceAdded, r.number, fmt::format("{} may come as {} ({})", shown(r), name, value),
                 {"let the subscribers named declare that they pass over unknown values, or a version that "
                  "has it"});
    if (r.type == Type::kChoice)
      for (const auto& [value, name] : w->choices)
        if (const auto at = r.choices.find(value); at != r.choices.end() && at->second != name)
          breach(Rule::kChoiceReused, r.number,
                 fmt::format("{}: {} is {} and read as {}", shown(r), value, name, at->second),
                 {fmt::format("give {} a value of its own", name)});
    if (reader.leans.count(r.number) && w->preset != r.preset)
      breach(Rule::kPresetChanged, r.number,
             fmt::format("where {} is not told, {} stands for it and not {}", shown(r), shown(w->preset),
                         shown(r.preset)),
             {fmt::format("tell {} in every notice and keep its preset until nobody leans on it", r.name)});
  }
  return out;
}

Verdict check_new(const Topic& bulletin, const Schema& proposed) {
  std::vector<Violation> all;
  malformed(proposed, all);
  if (!all.empty()) return sorted(std::move(all));  // nothing further can be said of it
  meanings(bulletin, proposed, all);
  for (const Declaration& d : bulletin.declarations) {
    // One version that it speaks is enough. Where none is, the newest tells why.
    const auto versions = spoken(bulletin, d);
    std::vector<Violation> newest;
    bool served = versions.empty();
    for (const Version* const v : versions) {
      std::vector<Violation> found = between(proposed, v->schema, d);
      served |= found.empty();
      for (Violation& b : found) b.readers = {{d.subscriber, d.site, v->number}};
      if (v == versions.front()) newest = std::move(found);
    }
    if (!served)
      for (const Violation& b : newest) merge(all, b);
  }
  // Whoever still publishes an older version has nothing for a field that is new and required.
  for (const Version& v : bulletin.versions) {
    if (v.state != State::kLive) continue;
    for (const Field& f : proposed.fields) {
      if (!f.required || f.preset) continue;
      const Field* const before = v.schema.find(f.number);
      if (before && (before->required || before->preset)) continue;
      merge(all,
            {Rule::kRequiredAdded,
             f.number,
             fmt::format("{} is required, and version {} is still published without it", shown(f), v.number),
             {},
             {fmt::format("add {} with a preset or not required", f.name),
              fmt::format("or let version {} be deprecated first", v.number)}});
    }
  }
  return sorted(std::move(all));
}

Verdict check_retire(const Topic& bulletin, uint32_t version) {
  std::vector<Violation> all;
  const Version* const v = bulletin.find(version);
  if (!v || v->state == State::kGone) {
    all.push_back({Rule::kNoSuchVersion, 0, fmt::format("there is no version {}", version), {}, {}});
    return {std::move(all)};
  }
  for (const Declaration& d : bulletin.declarations) {
    if (!d.versions.count(version)) continue;
    const auto versions = spoken(bulletin, d);
    const bool other = std::any_of(versions.begin(), versions.end(),
                                   [&](const Version* const o) { return o->number != version; });
    if (!other)
      merge(all,
            {Rule::kStillSpoken,
             0,
             fmt::format("version {} is the only one that some speak", version),
             {{d.subscriber, d.site, version}},
             {"let the subscribers named declare a later version, or wait until their declarations end"}});
  }
  return sorted(std::move(all));
}

Verdict check_declaration(const Topic& bulletin, const Declaration& d) {
  std::vector<Violation> all;
  const auto versions = spoken(bulletin, d);
  const auto named = [&](auto&& has) {
    return std::any_of(bulletin.versions.begin(), bulletin.versions.end(), [&](const Version& v) {
      return v.state != State::kGone && d.versions.count(v.number) && has(v);
    });
  };
  if (!named([](const Version&) { return true; })) {
    all.push_back({Rule::kNoSuchVersion, 0, "none of the versions named is there", {}, {}});
    return {std::move(all)};
  }
  for (const uint32_t f : d.reads)
    if (!named([f](const Version& v) { return v.schema.find(f) != nullptr; }))
      all.push_back({Rule::kNoSuchField, f, fmt::format("no version named has a field {}", f), {}, {}});
  if (all.empty() && versions.empty())
    all.push_back({Rule::kNoSuchField, 0, "no one version named has all that is read", {}, {}});
  // It has to be able to read what is published now: by one of its versions, each live one.
  for (const Version& live : bulletin.versions) {
    if (live.state != State::kLive || versions.empty()) continue;
    std::vector<Violation> newest;
    bool served = false;
    for (const Version* const v : versions) {
      std::vector<Violation> found = between(live.schema, v->schema, d);
      served |= found.empty();
      for (Violation& b : found) b.readers = {{d.subscriber, d.site, v->number}};
      if (v == versions.front()) newest = std::move(found);
    }
    if (!served)
      for (const Violation& b : newest) merge(all, b);
  }
  return sorted(std::move(all));
}

std::optional<Projection> projection(const Schema& from, const Schema& to, const Declaration& reader) {
  if (!between(from, to, reader).empty()) return {};
  Projection out;
  for (const Field& r : to.fields) {
    Projection::Step step;
    step.field = r.number;
    step.type = r.type;
    const Field* const w = from.find(r.number);
    const bool same = w && w->name == r.name;
    // What it does not read is told where that does no harm, and left out elsewhere.
    if (!same || !convertible(*w, r) || w->unit != r.unit) {
      step.kind = Projection::Step::Kind::kLeaveOut;
      if (r.required) step.kind = Projection::Step::Kind::kPreset, step.preset = r.preset;
    } else {
      step.kind = w->type == r.type ? Projection::Step::Kind::kCopy : Projection::Step::Kind::kWiden;
      step.preset = w->preset;
    }
    out.steps.push_back(std::move(step));
  }
  return out;
}

std::optional<Content> project(const Projection& projection, const Schema& to, const Content& notice) {
  using Kind = Projection::Step::Kind;
  Content out;
  for (const Projection::Step& s : projection.steps) {
    if (s.kind == Kind::kLeaveOut) continue;
    const auto at = notice.find(s.field);
    std::optional<Value> value;
    if (s.kind != Kind::kPreset && at != notice.end())
      value = at->second;
    else
      value = s.preset;
    if (!value) continue;
    const bool real = s.type == Type::kFloat32 || s.type == Type::kFloat64;
    if (real && std::holds_alternative<int64_t>(*value))
      value = static_cast<double>(std::get<int64_t>(*value));
    out.emplace(s.field, std::move(*value));
  }
  // What remains may be a choice that the reader passes over, or a field that it does not read and that is
  // missing: the notice is told without what cannot be told.
  for (const Field& f : to.fields) {
    const auto at = out.find(f.number);
    if (at != out.end() && !value_fault(f, at->second).empty()) {
      if (f.required) return {};
      out.erase(at);
    }
  }
  return out;
}

std::string fault_of(const Schema& schema, const Content& notice) {
  for (const auto& [number, value] : notice) {
    const Field* const f = schema.find(number);
    if (!f) return fmt::format("there is no field {}", number);
    if (std::string fault = value_fault(*f, value); !fault.empty()) return fault;
  }
  for (const Field& f : schema.fields)
    if (f.required && !f.preset && !notice.count(f.number)) return fmt::format("{} is missing", shown(f));
  return "";
}

}  // namespace firvalve::schema
