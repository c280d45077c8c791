// Parses fault scripts and generates result rows.
#include "fakes/fault_script.h"

#include <fmt/format.h>

#include <charconv>
#include <stdexcept>

namespace firvalve::fakes {
namespace {

double parse_number(std::string_view option, std::string_view value) {
  double number = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (error != std::errc() || end != value.data() + value.size())
    throw std::invalid_argument(
        fmt::format("fault script: option {} requires a number, got \"{}\"", option, value));
  return number;
}

void set_option(FaultScript& script, std::string_view option, std::string_view value) {
  const auto integer = [&] { return static_cast<int>(parse_number(option, value)); };
  if (option == "delay")
    script.delay = parse_number(option, value);
  else if (option == "late")
    script.late = parse_number(option, value);
  else if (option == "rows")
    script.rows = integer();
  else if (option == "pages")
    script.pages = integer();
  else if (option == "row-bytes")
    script.row_bytes = integer();
  else if (option == "status")
    script.status = integer();
  else if (option == "ask-status")
    script.ask_status = integer();
  else if (option == "refuse")
    script.refuse = true;
  else if (option == "silent")
    script.silent = true;
  else if (option == "reset")
    script.reset = integer();
  else if (option == "cut")
    script.cut = integer();
  else if (option == "times")
    script.times = integer();
  else if (option == "reset-next")
    script.reset_next = integer();
  else if (option == "spoil-times")
    script.max_corruptions = integer();
  else if (option == "note")
    script.note = value;
  else if (option == "spoil")
    script.corruption = value;
  else if (option == "answer")
    script.answer = value;
  else if (option == "holdoff")
    script.holdoff = value;
  else
    throw std::invalid_argument(fmt::format("fault script: unknown option \"{}\"", option));
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
    set_option(script, word.substr(0, equals),
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
