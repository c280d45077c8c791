// The HTTP requests of an attempt (start, status poll, page fetch, priority update, cancel) and the handling
// of their responses.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "policy/events.h"
#include "proto/store/http.h"

namespace firvalve::proto {

// An engine ends a query that was not polled for this time.
constexpr Duration kUnpolledLifetime = std::chrono::milliseconds(2000);
// An engine responds to a poll within this time, even if the status is unchanged.
constexpr Duration kPollResponseTime = std::chrono::milliseconds(250);
constexpr size_t kMaxResultBytes = 48000;
constexpr int64_t kMaxResultPages = 1000;  // far more pages than kMaxResultBytes fill
constexpr int kResultColumns = 3;          // text columns per row

struct StartCall {
  std::string_view id, profile, statement, host;
  Duration max_wait{};          // how long the engine may queue the query
  std::optional<int> priority;  // empty: the engine's default
};

// Each function appends a complete request.
void append_start(std::string& out, const StartCall& call);
void append_priority_update(std::string& out, std::string_view id, std::string_view host, int priority);
void append_cancel(std::string& out, std::string_view id, std::string_view host);

// State machine of one attempt: processes the responses in order and decides the next step. Performs no I/O.
class AttemptExchange {
 public:
  explicit AttemptExchange(size_t max_result_bytes = kMaxResultBytes,
                           int64_t max_result_pages = kMaxResultPages)
      : max_result_bytes_(max_result_bytes), max_result_pages_(max_result_pages) {}

  // kUnusable: the response does not fit the request; the same request can be made again.
  enum class Next { kPoll, kFinished, kUnusable };
  struct StatusUpdate {
    AttemptStatusKind kind = AttemptStatusKind::kProgress;
    double value = 0;
  };
  struct Step {
    Next next = Next::kPoll;
    Outcome outcome = Outcome::kFailed;  // valid if next is kFinished
    std::optional<StatusUpdate> status;
  };

  // is_to_start: whether the response answers the start rather than a poll.
  Step handle(const HttpResponse& response, bool is_to_start = false);
  void append_poll(std::string& out, std::string_view id, std::string_view host) const;
  bool has_rows() const { return !rows_.empty(); }
  std::string take_rows() { return std::exchange(rows_, {}); }  // the rows received since the last call

 private:
  Step handle_page(const HttpResponse& response);

  int64_t next_page_ = 0, page_count_ = 0;  // the request for page 0 also polls the status
  size_t max_result_bytes_, received_bytes_ = 0;
  int64_t max_result_pages_;
  std::string rows_;
};

}  // namespace firvalve::proto
