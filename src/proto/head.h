// Parses header sections with `Name: value` lines, as used by HTTP/1.1 and by the JSON-RPC framing.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace firvalve::proto {

struct HeaderField {
  std::string_view name, value;
};

// Removes the next line from the text and returns it without its CR LF. A bare LF also ends a line.
std::string_view take_line(std::string_view& text);
// Splits a line into name and value, and trims the value. Empty: the line is not a header field.
std::optional<HeaderField> parse_header_field(std::string_view line);
bool equals_ignore_case(std::string_view a, std::string_view b);  // ASCII only
// Parses an unsigned decimal integer. Empty: the text has other characters than digits, or exceeds max.
std::optional<int64_t> parse_decimal(std::string_view text, int64_t max);
// The length of the header section at the start of the text, with its empty line; npos: it is incomplete.
size_t find_header_end(std::string_view text);

}  // namespace firvalve::proto
