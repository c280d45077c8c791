#include "proto/query.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <iterator>

namespace firvalve::proto {
namespace {

constexpr std::string_view kPath = "/v1/store";

bool read_note(const HttpAnswer& answer, Query::Step& step) {
  static constexpr std::pair<std::string_view, NoteKind> kNotes[] = {
      {"share", NoteKind::kProgress}, {"short", NoteKind::kSpills}, {"held", NoteKind::kWaits}};
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

}  // namespace

void append_start(std::string& out, const QueryCall& c) {
  const auto to = std::back_inserter(out);
  fmt::format_to(to, "POST {} HTTP/1.1\r\nHost: {}\r\nCall-Id: {}\r\nCall-Kind: {}\r\nCall-Ms: {:.0f}\r\n", kPath,
                 c.host, c.id, c.profile, std::max(1.0, std::ceil(c.wait)));
  if (c.priority >= 0) fmt::format_to(to, "X-Urgency: {}\r\n", c.priority);
  fmt::format_to(to, "Content-Length: {}\r\n\r\n", c.statement.size());
  out += c.statement;
}

void append_priority(std::string& out, std::string_view id, std::string_view host, int priority) {
  const std::string body = std::to_string(priority);
  fmt::format_to(std::back_inserter(out), "PUT {}/{} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n{}", kPath,
                 id, host, body.size(), body);
}

void append_give_up(std::string& out, std::string_view id, std::string_view host) {
  fmt::format_to(std::back_inserter(out), "DELETE {}/{} HTTP/1.1\r\nHost: {}\r\nContent-Length: 0\r\n\r\n", kPath,
                 id, host);
}

void Query::append_ask(std::string& out, std::string_view id, std::string_view host) const {
  fmt::format_to(std::back_inserter(out), "GET {}/{}/{} HTTP/1.1\r\nHost: {}\r\n\r\n", kPath, id, page_, host);
}

Query::Step Query::hear(const HttpAnswer& answer) {
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
  if (answer.status == 503 && answer.not_begun && page_ == 0) return ended(Outcome::kFull);
  if (answer.status == 504 && answer.not_begun && page_ == 0) return ended(Outcome::kMoot);
  const int64_t told = page_ == 0 ? answer.pages : answer.page;
  if (answer.status != 200 || (page_ == 0 ? told < 1 : told != page_)) return ended(Outcome::kFailed);
  if (page_ == 0) pages_ = told;
  // Guards the memory limit against an engine that sends more than a client may get.
  if (rows_.size() + answer.body.size() > kRowsMost) return ended(Outcome::kFailed);
  rows_ += answer.body;
  return ++page_ == pages_ ? ended(Outcome::kOk) : step;
}

}  // namespace firvalve::proto
