#include "proto/store/query.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <iterator>

namespace firvalve::proto {
namespace {

constexpr std::string_view kPath = "/v1/store";

bool read_note(const HttpAnswer& answer, Query::Step& step) {
  static constexpr std::pair<std::string_view, AttemptStatusKind> kNotes[] = {
      {"share", AttemptStatusKind::kProgress},
      {"short", AttemptStatusKind::kSpilling},
      {"held", AttemptStatusKind::kWaiting}};
  const auto* end = answer.value.data() + answer.value.size();
  const auto [at, error] = std::from_chars(answer.value.data(), end, step.value);
  if (error != std::errc() || at != end || !std::isfinite(step.value)) return false;
  for (const auto& [name, kind] : kNotes) {
    if (answer.note != name) continue;
    step.note = kind;
    return true;
  }
  return false;
}

// Whole rows of text: a tab between columns, a line feed after each row, nothing else that is no text.
bool whole_rows(std::string_view body) {
  int tabs = 0;
  for (size_t i = 0; i < body.size(); ++i) {
    const auto c = static_cast<unsigned char>(body[i]);
    if (c == '\t') {
      ++tabs;
    } else if (c == '\n') {
      if (tabs != kColumns - 1) return false;
      tabs = 0;
    } else if (c < ' ' || c == 127) {
      return false;
    } else if (c >= 128) {  // UTF-8: a lead byte and those that follow it
      const size_t more = c >= 0xf0 && c < 0xf5   ? 3
                          : c >= 0xe0 && c < 0xf0 ? 2
                          : c >= 0xc2 && c < 0xe0 ? 1
                                                  : 0;
      if (more == 0 || i + more >= body.size()) return false;
      for (size_t k = 0; k < more; ++k)
        if ((static_cast<unsigned char>(body[++i]) & 0xc0) != 0x80) return false;
    }
  }
  return body.empty() || body.back() == '\n';
}

}  // namespace

void append_start(std::string& out, const QueryCall& c) {
  const auto to = std::back_inserter(out);
  fmt::format_to(to, "POST {} HTTP/1.1\r\nHost: {}\r\nCall-Id: {}\r\nCall-Kind: {}\r\nCall-Ms: {:.0f}\r\n",
                 kPath, c.host, c.id, c.profile, std::max(1.0, std::ceil(c.wait)));
  if (c.priority >= 0) fmt::format_to(to, "X-Urgency: {}\r\n", c.priority);
  fmt::format_to(to, "Content-Length: {}\r\n\r\n", c.statement.size());
  out += c.statement;
}

void append_priority(std::string& out, std::string_view id, std::string_view host, int priority) {
  const std::string body = std::to_string(priority);
  fmt::format_to(std::back_inserter(out), "PUT {}/{} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n{}",
                 kPath, id, host, body.size(), body);
}

void append_give_up(std::string& out, std::string_view id, std::string_view host) {
  fmt::format_to(std::back_inserter(out), "DELETE {}/{} HTTP/1.1\r\nHost: {}\r\nContent-Length: 0\r\n\r\n",
                 kPath, id, host);
}

void Query::append_ask(std::string& out, std::string_view id, std::string_view host) const {
  fmt::format_to(std::back_inserter(out), "GET {}/{}/{} HTTP/1.1\r\nHost: {}\r\n\r\n", kPath, id, page_,
                 host);
}

// That it never ran is told by the answer to the start itself alone. Guards against a later call that a full
// or draining engine turns away, or that a process in its place answers, while the query runs on: such a word
// says nothing of it. It may cost a command that its engine gave up in line a second time to ask.
Query::Step Query::handle(const HttpAnswer& answer, bool to_start) {
  Step step;
  const auto ended = [&](Outcome outcome) {
    step.next = Next::kEnded;
    step.outcome = outcome;
    return step;
  };
  if (answer.status == 202 && page_ == 0) {
    step.noted = read_note(answer, step);
    return step;
  }
  if (answer.not_begun && to_start && answer.status == 503) return ended(Outcome::kQueueFull);
  if (answer.not_begun && to_start && answer.status == 504) return ended(Outcome::kCancelledBeforeStart);
  if (answer.status == 500) return ended(Outcome::kFailed);
  // Guards against passing on what noise, cuts and wrong lengths have made of a good answer; the query has
  // run, and its engine gives the same again. Where the engine itself makes such pages, that costs the time
  // it is asked.
  step.next = Next::kSpoilt;
  const int64_t told = page_ == 0 ? answer.pages : answer.page;
  if (answer.status != 200 || (page_ == 0 ? told < 1 || told > pages_most_ : told != page_)) return step;
  if (!whole_rows(answer.body) || rows_taken_ + answer.body.size() > rows_most_) return step;
  if (page_ == 0) pages_ = told;
  rows_ += answer.body;
  rows_taken_ += answer.body.size();
  step.next = Next::kAsk;
  return ++page_ == pages_ ? ended(Outcome::kOk) : step;
}

}  // namespace firvalve::proto
