#include "proto/statement.h"

#include "proto/head.h"

namespace firvalve::proto {
namespace {

bool starts_name(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || static_cast<unsigned char>(c) >= 128;
}
bool in_name(char c) { return starts_name(c) || (c >= '0' && c <= '9') || c == '$'; }
bool is_blank(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n' || c == '\f' || c == '\v'; }

// Where the quoted text that begins at `at` ends, past its closing mark; a doubled mark stands for itself.
size_t skip_quoted(std::string_view s, size_t at) {
  const char mark = s[at];
  for (++at; at < s.size(); ++at) {
    if (s[at] != mark) continue;
    if (at + 1 < s.size() && s[at + 1] == mark) {
      ++at;
      continue;
    }
    return at + 1;
  }
  return s.size();
}

// Where the block comment that begins at `at` ends. Block comments nest, as in SQL.
size_t skip_block_comment(std::string_view text, size_t at) {
  int depth = 1;
  for (at += 2; at < text.size() && depth > 0;) {
    const std::string_view two = text.substr(at, 2);
    if (two == "/*") ++depth;
    if (two == "*/") --depth;
    at += two == "/*" || two == "*/" ? 2 : 1;
  }
  return at;
}

// Where the blanks and comments that begin at `at` end.
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
  while (at < text.size() && in_name(text[at])) ++at;
  return at;
}

size_t skip_number(std::string_view text, size_t at) {
  while (at < text.size() && (in_name(text[at]) || text[at] == '.')) ++at;
  return at;
}

// Takes the token that begins at `at`, and moves `at` past it. Empty: it is no name.
std::string_view take_name(std::string_view text, size_t& at) {
  const size_t begin = at;
  const char first = text[at];
  if (first == '"' || first == '`') {
    at = skip_quoted(text, at);
    return text.substr(begin + 1, std::max<size_t>(at - begin, 2) - 2);
  }
  if (starts_name(first)) {
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

std::optional<int64_t> group_of_schema(std::string_view schema) {
  const size_t underscore = schema.rfind('_');
  if (underscore == std::string_view::npos || underscore == 0) return std::nullopt;
  return parse_whole_number(schema.substr(underscore + 1), INT64_MAX);
}

}  // namespace

std::optional<int64_t> table_group(std::string_view statement) {
  bool is_after_dot = false;  // a name there is a table or a column, no schema
  for (size_t at = skip_blanks(statement, 0); at < statement.size(); at = skip_blanks(statement, at)) {
    const bool is_dot = statement[at] == '.';
    const std::string_view name = take_name(statement, at);
    const bool may_be_schema = !name.empty() && !is_after_dot;
    is_after_dot = is_dot;
    if (!may_be_schema) continue;
    const size_t next = skip_blanks(statement, at);
    if (next >= statement.size() || statement[next] != '.' || equals_ignore_case(name, "staging")) continue;
    if (const auto group = group_of_schema(name)) return group;
  }
  return std::nullopt;
}

}  // namespace firvalve::proto
