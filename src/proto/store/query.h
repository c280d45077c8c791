// One send as its engine sees it: the calls that start it, ask for its news and fetch its pages.
#pragma once

#include <string>
#include <utility>

#include "policy/events.h"
#include "proto/store/http.h"

namespace firvalve::proto {

constexpr Ms kUnaskedMost = 2000;    // a query that is not asked for so long has ended on its engine
constexpr Ms kNewsWait = 250;        // the news of a query comes within it, if only to say that there is none
constexpr size_t kRowsMost = 48000;  // bytes of a result
constexpr int64_t kPagesMost = 1000;  // of a result: far past what 48,000 bytes make
constexpr int kColumns = 3;           // of text, in each row of a result

struct QueryCall {
  std::string_view id, profile, statement, host;
  Ms wait = 0;
  int priority = -1;  // below 0: not told, the engine's own choice
};

void append_start(std::string& out, const QueryCall& call);
void append_priority(std::string& out, std::string_view id, std::string_view host, int priority);
void append_give_up(std::string& out, std::string_view id, std::string_view host);

// Hears the answers to the calls of one send, in turn, and says which call comes next.
class Query {
 public:
  // The most that a result may have: bytes, and pages.
  explicit Query(size_t rows_most = kRowsMost, int64_t pages_most = kPagesMost)
      : rows_most_(rows_most), pages_most_(pages_most) {}

  enum class Next { kAsk, kEnded, kSpoilt };  // spoilt: no answer to that call; it can be asked for again
  struct Step {
    Next next = Next::kAsk;
    Outcome outcome = Outcome::kFailed;  // once ended
    bool noted = false;
    AttemptStatusKind note = AttemptStatusKind::kProgress;
    double value = 0;
  };

  Step handle(const HttpAnswer& answer, bool to_start = false);  // to_start: it answers the start itself
  void append_ask(std::string& out, std::string_view id, std::string_view host) const;
  bool has_rows() const { return !rows_.empty(); }
  std::string take_rows() { return std::exchange(rows_, {}); }  // since the last taking

 private:
  int64_t page_ = 0, pages_ = 0;  // the next to ask for, and all; page 0 is also the news
  size_t rows_most_, rows_taken_ = 0;
  int64_t pages_most_;
  std::string rows_;
};

}  // namespace firvalve::proto
