#include "proto/store/attempt_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>

namespace firvalve::proto {
namespace {

constexpr std::string_view kPath = "/v1/store";

// None: it is no status that we know.
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

// How many bytes follow the lead byte of a character of UTF-8; 0: it is no lead byte.
size_t utf8_continuation_count(unsigned char lead) {
  if (lead >= 0xf0 && lead < 0xf5) return 3;
  if (lead >= 0xe0 && lead < 0xf0) return 2;
  return lead >= 0xc2 && lead < 0xe0 ? 1 : 0;
}

// The length of the character of UTF-8 beyond ASCII at the start of the text; 0: there is none.
size_t utf8_length(std::string_view text) {
  const size_t continuations = utf8_continuation_count(static_cast<unsigned char>(text[0]));
  if (continuations == 0 || continuations >= text.size()) return 0;
  const std::string_view rest = text.substr(1, continuations);
  const bool is_whole = std::all_of(
      rest.begin(), rest.end(), [](char byte) { return (static_cast<unsigned char>(byte) & 0xc0) == 0x80; });
  return is_whole ? continuations + 1 : 0;
}

// Whole rows of text: a tab between columns, a line feed after each row, nothing else that is not text.
bool are_whole_rows(std::string_view body) {
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

// That the query never ran is known from the response to the start itself alone. Guards against a later call
// that a full or draining engine rejects, or that a process in its place answers, while the query runs on:
// such a response says nothing of it. It may cost a command whose engine gave it up in its queue a second
// time to ask.
AttemptExchange::Step AttemptExchange::handle(const HttpResponse& response, bool is_to_start) {
  if (response.status == 202 && next_page_ == 0)
    return {Next::kPoll, Outcome::kFailed, read_status(response)};
  const bool never_ran = response.is_not_started && is_to_start;
  if (never_ran && response.status == 503) return finished(Outcome::kQueueFull);
  if (never_ran && response.status == 504) return finished(Outcome::kCancelledBeforeStart);
  if (response.status == 500) return finished(Outcome::kFailed);
  return handle_page(response);
}

// Guards against passing on what noise, cuts and wrong lengths have made of a good response; the query has
// run, and its engine gives the same again. Where the engine itself makes such pages, that costs the time it
// is polled.
AttemptExchange::Step AttemptExchange::handle_page(const HttpResponse& response) {
  const Step unusable{Next::kUnusable, Outcome::kFailed, std::nullopt};
  if (response.status != 200) return unusable;
  if (next_page_ == 0) {
    if (!response.page_count || *response.page_count < 1 || *response.page_count > max_result_pages_)
      return unusable;
  } else if (response.page != next_page_) {
    return unusable;
  }
  if (!are_whole_rows(response.body) || received_bytes_ + response.body.size() > max_result_bytes_)
    return unusable;
  if (next_page_ == 0) page_count_ = *response.page_count;
  rows_ += response.body;
  received_bytes_ += response.body.size();
  if (++next_page_ == page_count_) return finished(Outcome::kOk);
  return {Next::kPoll, Outcome::kFailed, std::nullopt};
}

}  // namespace firvalve::proto
