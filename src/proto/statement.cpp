#include "proto/statement.h"

#include "proto/head.h"

namespace firvalve::proto {
namespace {

bool is_name_start(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || static_cast<unsigned char>(c) >= 128;
}
bool is_name_character(char c) { return is_name_start(c) || (c >= '0' && c <= '9') || c == '$'; }
bool is_blank(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n' || c == '\f' || c == '\v'; }

// Returns the position after the closing quote of the quoted text that begins at `at`. A doubled quote is
// part of the text.
size_t skip_quoted(std::string_view text, size_t at) {
  const char quote = text[at];
  for (++at; at < text.size(); ++at) {
    if (text[at] != quote) continue;
    if (at + 1 < text.size() && text[at + 1] == quote) {
      ++at;
      continue;
    }
    return at + 1;
  }
  return text.size();
}

// Returns the position after the block comment that begins at `at`. Block comments nest, as in SQL.
size_t skip_block_comment(std::string_view text, size_t at) {
  int depth = 1;
  for (at += 2; at < text.size() && depth > 0;) {
    const std::string_view pair = text.substr(at, 2);
    if (pair == "/*") ++depth;
    if (pair == "*/") --depth;
    at += pair == "/*" || pair == "*/" ? 2 : 1;
  }
  return at;
}

// Returns the position after the blanks and comments that begin at `at`.
size_t skip_blanks(std::string_view text, size_t at) {
  while (at < text.size()) {
    if (is_blank(text[at])) {
      ++at;
    } else if (text.substr(at, 2) == "--") {
      at = std::min(text.find('\n', at), text.size());
    } else if (text.substr(at, 2) == "/*") {
      at = skip_block_comment(text, at);
    } else {
      break;
    }
  }
  return at;
}

size_t skip_name(std::string_view text, size_t at) {
  while (at < text.size() && is_name_character(text[at])) ++at;
  return at;
}

size_t skip_number(std::string_view text, size_t at) {
  while (at < text.size() && (is_name_character(text[at]) || text[at] == '.')) ++at;
  return at;
}

// Reads the token at `at` and moves `at` past it. Returns a quoted or plain name; empty: the token is no
// name.
std::string_view take_name(std::string_view text, size_t& at) {
  const size_t begin = at;
  const char first = text[at];
  if (first == '"' || first == '`') {
    at = skip_quoted(text, at);
    return text.substr(begin + 1, std::max<size_t>(at - begin, 2) - 2);
  }
  if (is_name_start(first)) {
    at = skip_name(text, at);
    return text.substr(begin, at - begin);
  }
  if (first == '\'')
    at = skip_quoted(text, at);
  else if (first >= '0' && first <= '9')
    at = skip_number(text, at);
  else
    ++at;
  return {};
}

std::optional<int64_t> parse_group_of_schema(std::string_view schema) {
  const size_t underscore = schema.rfind('_');
  if (underscore == std::string_view::npos || underscore == 0) return std::nullopt;
  return parse_decimal(schema.substr(underscore + 1), INT64_MAX);
}

}  // namespace

std::optional<int64_t> table_group(std::string_view statement) {
  bool is_after_dot = false;  // a name after a dot is a table or a column, not a schema
  for (size_t at = skip_blanks(statement, 0); at < statement.size(); at = skip_blanks(statement, at)) {
    const bool is_dot = statement[at] == '.';
    const std::string_view name = take_name(statement, at);
    const bool may_be_schema = !name.empty() && !is_after_dot;
    is_after_dot = is_dot;
    if (!may_be_schema) continue;
    const size_t next = skip_blanks(statement, at);
    if (next >= statement.size() || statement[next] != '.' || equals_ignore_case(name, "staging")) continue;
    if (const auto group = parse_group_of_schema(name)) return group;
  }
  return std::nullopt;
}

}  // namespace firvalve::proto
