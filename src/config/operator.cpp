#include "config/operator.h"

#include <fmt/format.h>
#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <fstream>
#include <numeric>
#include <set>
#include <sstream>
#include <variant>

namespace firvalve::config {
namespace {

// A field is where its value goes; the kind of the place is the kind of the value.
using Place = std::variant<bool*, double*, std::string*>;

struct Field {
  const char* path;
  Place (*place)(Operator&);
  const char* unit;                     // and what it is for
  double least = 0, most = 0;           // of numbers
  std::vector<std::string> words = {};  // that a string may be; empty: any
  bool whole = false;                   // no fractions
};

const std::vector<Field>& fields() {
  static const std::vector<Field> all = {
      {"clients.marks", [](Operator& o) -> Place { return &o.clients.marks; },
       "true or false: read marks of repeats"},
      {"spool.on", [](Operator& o) -> Place { return &o.spool.on; },
       "true or false: paged results for clients that ask for them"},
      {"spool.memory_mb", [](Operator& o) -> Place { return &o.spool.memory_mb; },
       "MB, 0.1 to 65536: pages in memory", 0.1, 65536},
      {"spool.folder", [](Operator& o) -> Place { return &o.spool.folder; },
       "a path: segment files; empty: memory alone"},
      {"spool.disk_mb", [](Operator& o) -> Place { return &o.spool.disk_mb; },
       "MB, 1 to 16777216: pages on disk", 1, 16777216},
      {"spool.lease_s", [](Operator& o) -> Place { return &o.spool.lease_s; },
       "s, 0.1 to 86400: a result is kept since its last read", 0.1, 86400},
      {"spool.result_mb", [](Operator& o) -> Place { return &o.spool.result_mb; },
       "MB, 0.01 to 4096: one result", 0.01, 4096},
      {"spool.page_kb", [](Operator& o) -> Place { return &o.spool.page_kb; },
       "kB, 1 to 4096: an engine's page", 1, 4096},
      {"spool.first_expected_kb", [](Operator& o) -> Place { return &o.spool.first_expected_kb; },
       "kB, 1 to 1048576: a result of which nothing is known", 1, 1048576},
      {"spool.results",
       [](Operator& o) -> Place { return &o.spool.results; },
       "1 to 1000000: results kept at once",
       1,
       1000000,
       {},
       true},
      {"log.level",
       [](Operator& o) -> Place { return &o.log.level; },
       "the least that is written",
       0,
       0,
       {"debug", "info", "warning", "error"}},
      {"log.form", [](Operator& o) -> Place { return &o.log.form; }, "of a line", 0, 0, {"logfmt", "json"}},
  };
  return all;
}

// How many letters must change for the one word to be the other.
size_t distance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 0; i < a.size(); ++i) {
    size_t corner = row[0]++;
    for (size_t j = 0; j < b.size(); ++j) {
      const size_t changed = corner + (a[i] != b[j]);
      corner = row[j + 1];
      row[j + 1] = std::min({row[j + 1] + 1, row[j] + 1, changed});
    }
  }
  return row[b.size()];
}

std::string unknown(const std::string& path) {
  const Field* nearest = nullptr;
  size_t least = SIZE_MAX;
  for (const Field& f : fields())
    if (const size_t d = distance(path, f.path); d < least) nearest = &f, least = d;
  if (nearest && least <= std::max<size_t>(3, path.size() / 3))
    return fmt::format("no such field; the nearest is {}", nearest->path);
  return "no such field";
}

std::string wanted(const Field& f) {
  std::string text = f.unit;
  if (!f.words.empty()) text += fmt::format(": one of {}", fmt::join(f.words, ", "));
  return text;
}

// Hears the file's parts in order; knows where it is by the stream that the parser reads.
class Heard : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, Heard> {
 public:
  Heard(std::string_view text, const rapidjson::MemoryStream& stream, Reading& out)
      : text_(text), stream_(stream), out_(out) {}

  int line_at(size_t offset) const {
    const size_t end = std::min(offset, text_.size());
    return 1 + static_cast<int>(std::count(text_.begin(), text_.begin() + static_cast<long>(end), '\n'));
  }

  bool StartObject() {
    if (lists_ > 0) return true;
    if (depth_ > 0 && !is_group()) fault(field() ? "wants a value: " + wanted(*field()) : unknown(path()));
    ++depth_;
    names_.emplace_back();
    return true;
  }
  bool EndObject(rapidjson::SizeType) {
    if (lists_ > 0) return true;
    --depth_;
    names_.pop_back();
    return true;
  }
  bool Key(const char* text, rapidjson::SizeType length, bool) {
    if (lists_ > 0) return true;
    names_.back().assign(text, length);
    if (!seen_.insert(path()).second) fault("stands there twice");
    return true;
  }
  bool StartArray() {
    if (lists_++ == 0) fault(depth_ == 0 ? "the file is not one object in braces" : "wants no list");
    return true;
  }
  bool EndArray(rapidjson::SizeType) {
    --lists_;
    return true;
  }
  bool Null() { return refuse("wants a value, not null"); }
  bool Bool(bool value) {
    const Field* f = value_field();
    if (!f) return true;
    if (bool* const* to = place<bool>(*f))
      **to = value;
    else
      return refuse("wants " + wanted(*f));
    return true;
  }
  bool Int(int v) { return number(v); }
  bool Uint(unsigned v) { return number(v); }
  bool Int64(int64_t v) { return number(static_cast<double>(v)); }
  bool Uint64(uint64_t v) { return number(static_cast<double>(v)); }
  bool Double(double v) { return number(v); }
  bool String(const char* text, rapidjson::SizeType length, bool) {
    const Field* f = value_field();
    if (!f) return true;
    std::string* const* to = place<std::string>(*f);
    const std::string value(text, length);
    if (!to || (!f->words.empty() && std::find(f->words.begin(), f->words.end(), value) == f->words.end()))
      return refuse("wants " + wanted(*f));
    **to = value;
    return true;
  }

 private:
  std::string path() const {
    std::string all;
    for (const std::string& n : names_)
      if (!n.empty()) all += (all.empty() ? "" : ".") + n;
    return all;
  }
  const Field* field() const {
    const std::string at = path();
    for (const Field& f : fields())
      if (at == f.path) return &f;
    return nullptr;
  }
  bool is_group() const {
    const std::string start = path() + ".";
    return std::any_of(fields().begin(), fields().end(),
                       [&](const Field& f) { return std::string_view(f.path).starts_with(start); });
  }
  // The field that a value is for; null, with a fault told, where there is none.
  const Field* value_field() {
    if (lists_ > 0) return nullptr;
    if (depth_ == 0) return fault("the file is not one object in braces"), nullptr;
    const Field* f = field();
    if (!f) fault(is_group() ? "wants an object in braces" : unknown(path()));
    return f;
  }
  template <class T>
  T* const* place(const Field& f) {
    place_ = f.place(out_.values);
    return std::get_if<T*>(&place_);
  }
  bool number(double value) {
    const Field* f = value_field();
    if (!f) return true;
    double* const* to = place<double>(*f);
    if (!to) return refuse("wants " + wanted(*f));
    if (!(value >= f->least && value <= f->most))
      return refuse(fmt::format("{} is not within {} to {}: {}", value, f->least, f->most, f->unit));
    if (f->whole && value != static_cast<double>(static_cast<int64_t>(value)))
      return refuse(fmt::format("{} is not a whole number: {}", value, f->unit));
    **to = value;
    return true;
  }
  bool refuse(std::string text) {
    if (lists_ == 0) fault(std::move(text));
    return true;
  }
  void fault(std::string text) { out_.faults.push_back({line_at(stream_.Tell()), path(), std::move(text)}); }

  std::string_view text_;
  const rapidjson::MemoryStream& stream_;
  Reading& out_;
  std::vector<std::string> names_;
  std::set<std::string> seen_;
  Place place_;
  int depth_ = 0, lists_ = 0;
};

}  // namespace

Reading read_operator(std::string_view text) {
  Reading out;
  rapidjson::MemoryStream stream(text.data(), text.size());
  Heard heard(text, stream, out);
  rapidjson::Reader reader;
  constexpr unsigned kFlags = rapidjson::kParseCommentsFlag | rapidjson::kParseTrailingCommasFlag |
                              rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;
  const rapidjson::ParseResult result = reader.Parse<kFlags>(stream, heard);
  if (result.IsError())
    out.faults.push_back({heard.line_at(result.Offset()), {}, rapidjson::GetParseError_En(result.Code())});
  return out;
}

Reading read_operator_file(const std::string& path) {
  constexpr size_t kMost = 16 * 1024 * 1024;  // bytes: past any file written by hand
  std::ifstream file(path, std::ios::binary);
  Reading out;
  if (!file) {
    out.faults.push_back({0, {}, "cannot be read"});
    return out;
  }
  std::string text;
  char bytes[65536];
  while (file.read(bytes, sizeof bytes) || file.gcount() > 0) {
    text.append(bytes, static_cast<size_t>(file.gcount()));
    if (text.size() <= kMost) continue;
    out.faults.push_back({0, {}, "is larger than 16 MB"});
    return out;
  }
  return read_operator(text);
}

std::string line_of(const std::string& file, const Fault& f) {
  std::string line = file;
  if (f.line > 0) line += fmt::format(":{}", f.line);
  if (!f.path.empty()) line += ": " + f.path;
  return line + ": " + f.text;
}

std::string described(const Operator& values) {
  Operator copy = values;
  std::string all;
  for (const Field& f : fields()) {
    const Place place = f.place(copy);
    const std::string value = std::visit(
        [](auto* v) {
          if constexpr (std::is_same_v<decltype(v), std::string*>)
            return fmt::format("\"{}\"", *v);
          else
            return fmt::format("{}", *v);
        },
        place);
    all += fmt::format("{} = {}  # {}\n", f.path, value, wanted(f));
  }
  return all;
}

}  // namespace firvalve::config
