#include "proto/head.h"

#include <algorithm>

namespace firvalve::proto {

std::string_view take_line(std::string_view& text) {
  const size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

std::optional<HeaderField> parse_header_field(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) value.remove_prefix(1);
  while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) value.remove_suffix(1);
  return HeaderField{line.substr(0, colon), value};
}

bool equals_ignore_case(std::string_view a, std::string_view b) {
  const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [&](char x, char y) { return lower(x) == lower(y); });
}

std::optional<int64_t> parse_decimal(std::string_view text, int64_t max) {
  if (text.empty() || text.size() > 18) return std::nullopt;
  int64_t value = 0;
  for (const char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    value = value * 10 + (c - '0');
  }
  return value <= max ? std::optional(value) : std::nullopt;
}

size_t find_header_end(std::string_view text) {
  for (size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
    const std::string_view rest = text.substr(at + 1);
    if (rest.starts_with("\n")) return at + 2;
    if (rest.starts_with("\r\n")) return at + 3;
  }
  return std::string_view::npos;
}

}  // namespace firvalve::proto
