#include "proto/store/attempt_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>

namespace firvalve::proto {
namespace {

constexpr std::string_view kPath = "/v1/store";

// Empty: the response has no valid status.
std::optional<AttemptExchange::StatusUpdate> read_status(const HttpResponse& response) {
  static constexpr std::pair<std::string_view, AttemptStatusKind> kKinds[] = {
      {"share", AttemptStatusKind::kProgress},
      {"short", AttemptStatusKind::kSpilling},
      {"held", AttemptStatusKind::kWaiting}};
  const std::string_view text = response.status_value;
  const auto* end = text.data() + text.size();
  double value = 0;
  const auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || at != end || !std::isfinite(value)) return std::nullopt;
  for (const auto& [name, kind] : kKinds)
    if (response.status_kind == name) return AttemptExchange::StatusUpdate{kind, value};
  return std::nullopt;
}

// The number of continuation bytes after a UTF-8 lead byte; 0: the byte is not a valid lead byte.
size_t utf8_continuation_count(unsigned char lead) {
  if (lead >= 0xf0 && lead < 0xf5) return 3;
  if (lead >= 0xe0 && lead < 0xf0) return 2;
  return lead >= 0xc2 && lead < 0xe0 ? 1 : 0;
}

// The length of the multi-byte UTF-8 character at the start of the text; 0: it is invalid.
size_t utf8_length(std::string_view text) {
  const size_t continuations = utf8_continuation_count(static_cast<unsigned char>(text[0]));
  if (continuations == 0 || continuations >= text.size()) return 0;
  const std::string_view rest = text.substr(1, continuations);
  const bool is_valid = std::all_of(
      rest.begin(), rest.end(), [](char byte) { return (static_cast<unsigned char>(byte) & 0xc0) == 0x80; });
  return is_valid ? continuations + 1 : 0;
}

// Whether the body consists of complete rows: columns separated by tabs, a line feed after each row, and no
// other control characters or invalid UTF-8.
bool are_complete_rows(std::string_view body) {
  int tabs = 0;
  for (size_t i = 0; i < body.size();) {
    const auto byte = static_cast<unsigned char>(body[i]);
    size_t length = 1;
    if (byte == '\t') {
      ++tabs;
    } else if (byte == '\n') {
      if (tabs != kResultColumns - 1) return false;
      tabs = 0;
    } else if (byte < ' ' || byte == 127) {
      return false;
    } else if (byte >= 128) {
      length = utf8_length(body.substr(i));
      if (length == 0) return false;
    }
    i += length;
  }
  return body.empty() || body.back() == '\n';
}

AttemptExchange::Step finished(Outcome outcome) {
  return {AttemptExchange::Next::kFinished, outcome, std::nullopt};
}

}  // namespace

void append_start(std::string& out, const StartCall& call) {
  const auto to = std::back_inserter(out);
  fmt::format_to(to, "POST {} HTTP/1.1\r\nHost: {}\r\nCall-Id: {}\r\nCall-Kind: {}\r\nCall-Ms: {:.0f}\r\n",
                 kPath, call.host, call.id, call.profile, std::max(1.0, std::ceil(to_ms(call.max_wait))));
  if (call.priority) fmt::format_to(to, "X-Urgency: {}\r\n", *call.priority);
  fmt::format_to(to, "Content-Length: {}\r\n\r\n", call.statement.size());
  out += call.statement;
}

void append_priority_update(std::string& out, std::string_view id, std::string_view host, int priority) {
  const std::string body = std::to_string(priority);
  fmt::format_to(std::back_inserter(out), "PUT {}/{} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n{}",
                 kPath, id, host, body.size(), body);
}

void append_cancel(std::string& out, std::string_view id, std::string_view host) {
  fmt::format_to(std::back_inserter(out), "DELETE {}/{} HTTP/1.1\r\nHost: {}\r\nContent-Length: 0\r\n\r\n",
                 kPath, id, host);
}

void AttemptExchange::append_poll(std::string& out, std::string_view id, std::string_view host) const {
  fmt::format_to(std::back_inserter(out), "GET {}/{}/{} HTTP/1.1\r\nHost: {}\r\n\r\n", kPath, id, next_page_,
                 host);
}

// Only the response to the start itself can prove that the query never ran. A later request may be rejected
// by a full or draining engine, or answered by another process at its address, while the query keeps running.
// As a consequence, one more poll is needed if the engine dropped the command from its queue.
AttemptExchange::Step AttemptExchange::handle(const HttpResponse& response, bool is_to_start) {
  if (response.status == 202 && next_page_ == 0)
    return {Next::kPoll, Outcome::kFailed, read_status(response)};
  const bool never_ran = response.is_not_started && is_to_start;
  if (never_ran && response.status == 503) return finished(Outcome::kQueueFull);
  if (never_ran && response.status == 504) return finished(Outcome::kCancelledBeforeStart);
  if (response.status == 500) return finished(Outcome::kFailed);
  return handle_page(response);
}

// Guards against returning a result that was corrupted or truncated in transit: the query has run, and its
// engine returns the same page again. If the engine itself produces invalid pages, the polls are wasted until
// the attempt is cancelled.
AttemptExchange::Step AttemptExchange::handle_page(const HttpResponse& response) {
  const Step unusable{Next::kUnusable, Outcome::kFailed, std::nullopt};
  if (response.status != 200) return unusable;
  if (next_page_ == 0) {
    if (!response.page_count || *response.page_count < 1 || *response.page_count > max_result_pages_)
      return unusable;
  } else if (response.page != next_page_) {
    return unusable;
  }
  if (!are_complete_rows(response.body) || received_bytes_ + response.body.size() > max_result_bytes_)
    return unusable;
  if (next_page_ == 0) page_count_ = *response.page_count;
  rows_ += response.body;
  received_bytes_ += response.body.size();
  if (++next_page_ == page_count_) return finished(Outcome::kOk);
  return {Next::kPoll, Outcome::kFailed, std::nullopt};
}

}  // namespace firvalve::proto
