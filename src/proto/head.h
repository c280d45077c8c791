// Heads of lines `Name: value`, as JSON-RPC framing and HTTP/1.1 share them.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace firvalve::proto {

struct HeadField {
  std::string_view name, value;
};

// Takes the next line off the text, without its CR LF; a bare LF ends a line, too.
std::string_view take_line(std::string_view& text);
// A line as a field, the blanks round its value left out. Empty: it is none.
std::optional<HeadField> field_of(std::string_view line);
bool equals_ignore_case(std::string_view a, std::string_view b);  // whatever the case
// The whole number that the text is, digits alone. Empty: it is none, or larger than max.
std::optional<int64_t> parse_whole_number(std::string_view text, int64_t max);
// Where the head at the start of the text ends, past its empty line; npos: not yet.
size_t head_end(std::string_view text);

}  // namespace firvalve::proto
