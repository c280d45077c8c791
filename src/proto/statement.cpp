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
size_t past_quoted(std::string_view s, size_t at) {
  const char mark = s[at] == '[' ? ']' : s[at];
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

// Where the blanks and comments that begin at `at` end. Block comments nest, as in SQL.
size_t past_blanks(std::string_view s, size_t at) {
  while (at < s.size()) {
    if (is_blank(s[at])) {
      ++at;
    } else if (s.substr(at, 2) == "--") {
      at = std::min(s.find('\n', at), s.size());
    } else if (s.substr(at, 2) == "/*") {
      int depth = 1;
      for (at += 2; at < s.size() && depth > 0;) {
        const std::string_view two = s.substr(at, 2);
        depth += two == "/*" ? 1 : two == "*/" ? -1 : 0;
        at += two == "/*" || two == "*/" ? 2 : 1;
      }
    } else {
      break;
    }
  }
  return at;
}

int64_t group_of(std::string_view schema) {
  const size_t underscore = schema.rfind('_');
  if (underscore == std::string_view::npos || underscore == 0) return -1;
  return whole_number(schema.substr(underscore + 1), INT64_MAX).value_or(-1);
}

}  // namespace

int64_t table_group(std::string_view s) {
  bool behind_dot = false;  // a name there is a table or a column, no schema
  for (size_t at = past_blanks(s, 0); at < s.size(); at = past_blanks(s, at)) {
    const char c = s[at];
    std::string_view name;
    if (c == '\'') {
      at = past_quoted(s, at);
    } else if (c == '"' || c == '`') {
      const size_t end = past_quoted(s, at);
      name = s.substr(at + 1, std::max<size_t>(end - at, 2) - 2);
      at = end;
    } else if (starts_name(c)) {
      const size_t begin = at;
      while (at < s.size() && in_name(s[at])) ++at;
      name = s.substr(begin, at - begin);
    } else if (c >= '0' && c <= '9') {
      while (at < s.size() && (in_name(s[at]) || s[at] == '.')) ++at;
    } else {
      ++at;
    }
    const bool first = !name.empty() && !behind_dot;
    behind_dot = c == '.';
    if (!first) continue;
    const size_t next = past_blanks(s, at);
    if (next >= s.size() || s[next] != '.' || same_name(name, "staging")) continue;
    if (const int64_t group = group_of(name); group >= 0) return group;
  }
  return -1;
}

}  // namespace firvalve::proto
