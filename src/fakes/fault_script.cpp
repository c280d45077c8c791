// Parses fault scripts and generates result rows.
#include "fakes/fault_script.h"

#include <fmt/format.h>

#include <charconv>
#include <stdexcept>

namespace firvalve::fakes {
namespace {

double figure(std::string_view word, std::string_view value) {
  double number = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (error != std::errc() || end != value.data() + value.size())
    throw std::invalid_argument(fmt::format("script: {} wants a number, not \"{}\"", word, value));
  return number;
}

void put(FaultScript& s, std::string_view word, std::string_view value) {
  const auto whole = [&] { return static_cast<int>(figure(word, value)); };
  if (word == "delay")
    s.delay = figure(word, value);
  else if (word == "late")
    s.late = figure(word, value);
  else if (word == "rows")
    s.rows = whole();
  else if (word == "pages")
    s.pages = whole();
  else if (word == "row-bytes")
    s.row_bytes = whole();
  else if (word == "status")
    s.status = whole();
  else if (word == "ask-status")
    s.ask_status = whole();
  else if (word == "refuse")
    s.refuse = true;
  else if (word == "silent")
    s.silent = true;
  else if (word == "reset")
    s.reset = whole();
  else if (word == "cut")
    s.cut = whole();
  else if (word == "times")
    s.times = whole();
  else if (word == "reset-next")
    s.reset_next = whole();
  else if (word == "spoil-times")
    s.spoil_times = whole();
  else if (word == "note")
    s.note = value;
  else if (word == "spoil")
    s.spoil = value;
  else if (word == "answer")
    s.answer = value;
  else if (word == "holdoff")
    s.holdoff = value;
  else
    throw std::invalid_argument(fmt::format("script: no such word as \"{}\"", word));
}

}  // namespace

FaultScript script_of(std::string_view statement) {
  FaultScript script;
  const size_t begin = statement.find("/*!");
  if (begin == std::string_view::npos) return script;
  std::string_view words = statement.substr(begin + 3);
  words = words.substr(0, words.find("*/"));
  while (!words.empty()) {
    const size_t start = words.find_first_not_of(' ');
    if (start == std::string_view::npos) break;
    words.remove_prefix(start);
    const std::string_view word = words.substr(0, words.find(' '));
    words.remove_prefix(word.size());
    const size_t equals = word.find('=');
    put(script, word.substr(0, equals),
        equals == std::string_view::npos ? std::string_view() : word.substr(equals + 1));
  }
  return script;
}

std::string rows_of(const FaultScript& script, int page) {
  std::string rows;
  for (int i = 0; i < script.rows; ++i) {
    rows += fmt::format("{}\t{}\t", page, i);
    const std::string text = fmt::format("row {} of page {}", i, page);
    rows += text;
    if (static_cast<int>(text.size()) < script.row_bytes)
      rows.append(static_cast<size_t>(script.row_bytes) - text.size(), 'x');
    rows += '\n';
  }
  return rows;
}

}  // namespace firvalve::fakes
