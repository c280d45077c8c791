// One attempt as its engine sees it: the calls that start it, poll its status and fetch its result's pages.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "policy/events.h"
#include "proto/store/http.h"

namespace firvalve::proto {

// A query that nobody polls for so long has ended on its engine.
constexpr Duration kUnpolledLifetime = std::chrono::milliseconds(2000);
// A poll has its response within it, if only to say that there is nothing new.
constexpr Duration kPollResponseTime = std::chrono::milliseconds(250);
constexpr size_t kMaxResultBytes = 48000;
constexpr int64_t kMaxResultPages = 1000;  // far past what 48,000 bytes make
constexpr int kResultColumns = 3;          // of text, in each row

struct StartCall {
  std::string_view id, profile, statement, host;
  Duration max_wait{};          // that the engine may let it wait for its start
  std::optional<int> priority;  // none: the engine's own choice
};

// Each appends a request.
void append_start(std::string& out, const StartCall& call);
void append_priority_update(std::string& out, std::string_view id, std::string_view host, int priority);
void append_cancel(std::string& out, std::string_view id, std::string_view host);

// Takes the responses to the calls of one attempt, in turn, and says what comes next. No I/O.
class AttemptExchange {
 public:
  explicit AttemptExchange(size_t max_result_bytes = kMaxResultBytes,
                           int64_t max_result_pages = kMaxResultPages)
      : max_result_bytes_(max_result_bytes), max_result_pages_(max_result_pages) {}

  // kUnusable: no response to the call that was made; the same can be polled again.
  enum class Next { kPoll, kFinished, kUnusable };
  struct StatusUpdate {
    AttemptStatusKind kind = AttemptStatusKind::kProgress;
    double value = 0;
  };
  struct Step {
    Next next = Next::kPoll;
    Outcome outcome = Outcome::kFailed;  // of kFinished
    std::optional<StatusUpdate> status;
  };

  // is_to_start: the response is to the start itself, not to a poll.
  Step handle(const HttpResponse& response, bool is_to_start = false);
  void append_poll(std::string& out, std::string_view id, std::string_view host) const;
  bool has_rows() const { return !rows_.empty(); }
  std::string take_rows() { return std::exchange(rows_, {}); }  // since they were last taken

 private:
  Step handle_page(const HttpResponse& response);

  int64_t next_page_ = 0, page_count_ = 0;  // page 0 is also the status
  size_t max_result_bytes_, received_bytes_ = 0;
  int64_t max_result_pages_;
  std::string rows_;
};

}  // namespace firvalve::proto
