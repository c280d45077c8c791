#include "config/operator_config.h"

#include <fmt/format.h>
#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <fstream>
#include <numeric>
#include <set>
#include <sstream>
#include <utility>
#include <variant>

namespace firvalve::config {
namespace {

// A field is where its value goes; the kind of the place is the kind of the value.
using Place = std::variant<bool*, double*, std::string*, std::vector<std::string>*>;

struct Field {
  const char* path;
  Place (*place)(OperatorConfig&);
  const char* unit;                     // and what it is for
  double least = 0, most = 0;           // of numbers
  std::vector<std::string> words = {};  // that a string may be; empty: any
  bool whole = false;                   // no fractions
};

const std::vector<Field>& fields() {
  static const std::vector<Field> all = {
      {"clients.marks", [](OperatorConfig& o) -> Place { return &o.clients.marks; },
       "true or false: read marks of repeats"},
      {"spool.on", [](OperatorConfig& o) -> Place { return &o.spool.on; },
       "true or false: paged results for clients that ask for them"},
      {"spool.memory_mb", [](OperatorConfig& o) -> Place { return &o.spool.memory_mb; },
       "MB, 0.1 to 65536: pages in memory", 0.1, 65536},
      {"spool.folder", [](OperatorConfig& o) -> Place { return &o.spool.folder; },
       "a path: segment files; empty: memory alone"},
      {"spool.disk_mb", [](OperatorConfig& o) -> Place { return &o.spool.disk_mb; },
       "MB, 1 to 16777216: pages on disk", 1, 16777216},
      {"spool.lease_s", [](OperatorConfig& o) -> Place { return &o.spool.lease_s; },
       "s, 0.1 to 86400: a result is kept since its last read", 0.1, 86400},
      {"spool.result_mb", [](OperatorConfig& o) -> Place { return &o.spool.result_mb; },
       "MB, 0.01 to 4096: one result", 0.01, 4096},
      {"spool.page_kb", [](OperatorConfig& o) -> Place { return &o.spool.page_kb; },
       "kB, 1 to 4096: an engine's page", 1, 4096},
      {"spool.first_expected_kb", [](OperatorConfig& o) -> Place { return &o.spool.first_expected_kb; },
       "kB, 1 to 1048576: a result of which nothing is known", 1, 1048576},
      {"spool.results",
       [](OperatorConfig& o) -> Place { return &o.spool.results; },
       "1 to 1000000: results kept at once",
       1,
       1000000,
       {},
       true},
      {"fleet.on", [](OperatorConfig& o) -> Place { return &o.fleet.on; },
       "true or false: talk with peers, hold duties with them"},
      {"fleet.site", [](OperatorConfig& o) -> Place { return &o.fleet.site; },
       "a name: where this gateway stands"},
      {"fleet.listen", [](OperatorConfig& o) -> Place { return &o.fleet.listen; }, "HOST:PORT for peers"},
      {"fleet.reached_at", [](OperatorConfig& o) -> Place { return &o.fleet.reached_at; },
       "HOST:PORT that peers reach it at; empty: listen"},
      {"fleet.keepers", [](OperatorConfig& o) -> Place { return &o.fleet.keepers; },
       "a list of three, five or seven HOST:PORT, the same in every file"},
      {"fleet.folder", [](OperatorConfig& o) -> Place { return &o.fleet.folder; },
       "a path: what a keeper promised; empty: memory alone"},
      {"fleet.lease_ms", [](OperatorConfig& o) -> Place { return &o.fleet.lease_ms; },
       "ms, 500 to 60000: a duty's lease", 500, 60000},
      {"fleet.duties", [](OperatorConfig& o) -> Place { return &o.fleet.duties; },
       "a list of duties that it is willing to hold"},
      {"fleet.trusted_network", [](OperatorConfig& o) -> Place { return &o.fleet.trusted_network; },
       "true or false: peers may be off the loopback"},
      {"log.level",
       [](OperatorConfig& o) -> Place { return &o.log.level; },
       "the least that is written",
       0,
       0,
       {"debug", "info", "warning", "error"}},
      {"log.form",
       [](OperatorConfig& o) -> Place { return &o.log.form; },
       "of a line",
       0,
       0,
       {"logfmt", "json"}},
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
    if (lists_ > 0) return refuse_entry();
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
    out_.lines.emplace(path(), line_at(stream_.Tell()));
    entry_told_ = false;
    return true;
  }
  bool StartArray() {
    if (lists_++ > 0) {
      if (list_) refuse_entry();
      return true;
    }
    const Field* const f = depth_ == 0 ? nullptr : field();
    list_ = f ? place<std::vector<std::string>>(*f) : nullptr;
    if (list_) (*list_)->clear();
    if (!list_) fault(depth_ == 0 ? "the file is not one object in braces" : "wants no list");
    return true;
  }
  bool EndArray(rapidjson::SizeType) {
    if (--lists_ == 0) list_ = nullptr;
    return true;
  }
  bool Null() { return refuse("wants a value, not null"); }
  bool Bool(bool value) {
    if (lists_ > 0) return refuse_entry();
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
    if (list_ && lists_ == 1) {
      (*list_)->emplace_back(text, length);
      return true;
    }
    if (lists_ > 0) return true;
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
  // Within a list that a field wants, nothing but strings.
  bool refuse_entry() {
    if (list_ && !std::exchange(entry_told_, true)) fault("wants " + wanted(*field()) + ", of strings");
    return true;
  }
  bool number(double value) {
    if (lists_ > 0) return refuse_entry();
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
    if (lists_ > 0) return refuse_entry();
    fault(std::move(text));
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
  std::vector<std::string>* const* list_ = nullptr;  // that the strings of the present list go to
  bool entry_told_ = false;
};

// HOST:PORT with a number for the host: look-ups are not to be had everywhere.
bool is_address(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  int parts = 0, value = -1;
  for (const char c : text.substr(0, colon) + ".") {
    if (c == '.') {
      if (value < 0 || value > 255) return false;
      ++parts;
      value = -1;
    } else if (c >= '0' && c <= '9' && value < 1000) {
      value = std::max(value, 0) * 10 + (c - '0');
    } else {
      return false;
    }
  }
  const std::string port = text.substr(colon + 1);
  return parts == 4 && !port.empty() && port.size() <= 5 &&
         port.find_first_not_of("0123456789") == std::string::npos && std::stoi(port) >= 1 &&
         std::stoi(port) <= 65535;
}

// What no field shows by itself.
void check_fleet(Reading& out) {
  const OperatorConfig::Fleet& f = out.values.fleet;
  if (!f.on) return;
  const auto fault = [&out](const std::string& path, std::string text) {
    const auto at = out.lines.find(path);
    out.faults.push_back({at == out.lines.end() ? out.lines["fleet.on"] : at->second, path, std::move(text)});
  };
  const auto address = [&](const std::string& path, const std::string& text) {
    if (!is_address(text))
      fault(path, text.empty() ? "is missing: HOST:PORT, the host as a number"
                               : fmt::format("\"{}\" is not HOST:PORT with the host as a number", text));
    else if (!text.starts_with("127.") && !f.trusted_network)
      fault(path, fmt::format("{} is off the loopback, and nothing between gateways is signed or sealed: set "
                              "fleet.trusted_network where nobody else hears or speaks there",
                              text));
  };
  if (f.site.empty()) fault("fleet.site", "is missing: a name for where this gateway stands");
  address("fleet.listen", f.listen);
  if (!f.reached_at.empty()) address("fleet.reached_at", f.reached_at);
  const size_t keepers = f.keepers.size();
  if (keepers != 3 && keepers != 5 && keepers != 7)
    fault("fleet.keepers",
          fmt::format("{} {}: three, five or seven; of an even number one is of no use, of one its "
                      "loss is the record's",
                      keepers, keepers == 1 ? "is listed" : "are listed"));
  std::set<std::string> seen;
  for (const std::string& keeper : f.keepers) {
    address("fleet.keepers", keeper);
    if (!seen.insert(keeper).second) fault("fleet.keepers", fmt::format("{} stands there twice", keeper));
  }
  if (!f.folder.empty() && is_address(f.name()) && !seen.count(f.name()))
    fault("fleet.folder",
          fmt::format("{} is no keeper and keeps nothing: leave it empty, or list it", f.name()));
  for (const std::string& duty : f.duties) {
    const size_t colon = duty.find(':');
    if (colon == 0 || colon == std::string::npos || colon + 1 == duty.size() || duty.size() > 200)
      fault("fleet.duties", fmt::format("\"{}\" is no duty: KIND:NAME, or KIND:* for all of a kind", duty));
  }
}

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
  else if (out.faults.empty())
    check_fleet(out);
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

std::string described(const OperatorConfig& values) {
  OperatorConfig copy = values;
  std::string all;
  for (const Field& f : fields()) {
    const Place place = f.place(copy);
    const std::string value = std::visit(
        [](auto* v) {
          if constexpr (std::is_same_v<decltype(v), std::string*>)
            return fmt::format("\"{}\"", *v);
          else if constexpr (std::is_same_v<decltype(v), std::vector<std::string>*>)
            return v->empty() ? std::string("[]") : fmt::format("[\"{}\"]", fmt::join(*v, "\", \""));
          else
            return fmt::format("{}", *v);
        },
        place);
    all += fmt::format("{} = {}  # {}\n", f.path, value, wanted(f));
  }
  return all;
}

}  // namespace firvalve::config
