// A client of firvalve's gateways: keeps deadlines, marks and budgets retries, honours refusals, spreads
// reconnects. docs/client.md is the guide; this header is all that a program includes.
//
//   firvalve::client::Options options;
//   options.gateways = {"127.0.0.1:6565"};
//   firvalve::client::Client client(options);
//   const auto result = client.call({.profile = "lookup", .statement = "select 1", .timeout_ms = 800});
//   if (result.outcome == firvalve::client::Outcome::kAnswered) std::cout << result.rows;
//
// Threads. Every function may be called from any thread, from within callbacks too. A client has two threads
// of its own: one for sockets and decisions, which runs no code of the user's, and one on which callbacks and
// log lines are run, one at a time, in the order in which calls ended. A slow callback delays other
// callbacks, never an answer, a deadline or a blocking call(); calls count as open until their callback has
// returned, so that `max_open_calls` bounds what a slow one lets pile up.
//
// Times are milliseconds with fractions. Deadlines run on the monotonic clock: setting the system's clock
// moves none.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "client/outcome.h"

namespace firvalve::client {

// Whether running it twice does harm. A command that is not known to be replayable is not.
enum class Effect { kNonReplayable, kReplayable };

struct Command {
  std::string profile;     // the gateway's word for the class of query
  std::string statement;   // 1 to kMaxStatementBytes bytes
  double timeout_ms = 0;   // for the whole of it, retries and waits included; above 0, at most a day
  double estimate_ms = 0;  // of its work on one core; 0: not known
  double memory_mb = 0;    // that it will need; 0: not known
  Effect effect = Effect::kNonReplayable;
  bool paged = false;  // the answer is a token and the first page, where the gateway gives pages: PageReader
  std::string key = {};  // paged: only a client with the same key reads the pages; empty: the token suffices
  // An idempotency key: the command runs once under it, however many gateways are asked for it. Asking again
  // does no harm, so it is replayable. It fails where gateways form no cluster. 128 bytes at most; empty: an
  // ordinary command.
  std::string run_once_key = {};
};
extern const size_t kMaxStatementBytes;  // bytes: the longest that a gateway reads

struct Result {
  Outcome outcome = Outcome::kFailed;
  std::string rows;           // answered: a tab between columns, a line feed after each row
  bool may_have_run = false;  // false is proof: no attempt of it can have come to an engine
  bool cancelled = false;
  int attempts = 0;
  double elapsed_ms = 0;      // since call() or send()
  double retry_after_ms = 0;  // refused: earlier is useless; 0: not known
  std::string reason;         // in a few words, for logs; empty when answered
  std::string gateway;        // that answered, refused or failed it; empty: none did
  // Of a paged command. Without a token the gateway gives no pages, and `rows` are all.
  std::string token;
  uint64_t pages = 0, total_rows = 0;
  bool gone = false;          // of a page: the result is not, or no longer, stored
  bool no_such_page = false;  // of a page: past the last
};
using Callback = std::function<void(const Result&)>;

enum class LogLevel { kInfo, kWarning };

struct Options {
  // HOST:PORT, with a name, an IPv4 address or an IPv6 address in brackets. Names are looked up once, by the
  // constructor. At least one.
  std::vector<std::string> gateways;
  uint64_t seed = 0;  // of all random draws; 0: from the system, as clients that share one act alike

  int max_connections = 4;            // to one gateway, 1 to 1,000
  size_t max_open_calls = 10000;      // one more is refused here
  size_t max_answer_bytes = 1 << 20;  // of an answer as it comes; a longer one ends its connection

  // Retry budget: retries within a window are at most this share of the first attempts in it (and one call's
  // worth of luck, see docs/client.md). 0: no retries.
  double retry_share = 0.1;
  double retry_window_ms = 10000;
  int max_attempts = 3;                           // of one call; 1: no retries
  double backoff_ms = 50, max_backoff_ms = 2000;  // full jitter between the attempts of one call
  double max_retry_after_ms = 30000;              // a longer Retry-After of a gateway is cut to it

  // After an outage, a client comes back at a moment drawn from this span, which doubles with each failure.
  double spread_ms = 4000, max_spread_ms = 30000;

  double connect_timeout_ms = 1000;
  double silence_timeout_ms = 1000;  // without a byte while calls are open: a heartbeat is asked for; as long
                                     // again, and the gateway is ejected
  double idle_timeout_ms = 3500;     // idle connections are closed; less than the gateways' own time for it
  bool send_retry_markers = true;  // with a retry, name its first attempt to gateways that read such markers

  // Called when gateways are ejected and reinstated. On the callbacks' thread.
  std::function<void(LogLevel, std::string_view)> log;
};

struct Stats {
  uint64_t calls = 0;  // accepted from the user, or refused to the user
  uint64_t answered = 0, refused = 0, failed = 0, unknown = 0, expired = 0;  // by their outcome
  uint64_t cancelled = 0;                                                    // of those
  uint64_t refused_without_attempt = 0;  // of the refused: without an attempt
  uint64_t attempts = 0;                 // first attempts and retries
  uint64_t retries = 0;                  // within the budget
  uint64_t idle_close_retries = 0;       // beside it: once more after a gateway's close of an idle connection
  uint64_t revoked = 0, late_answers = 0;
  uint64_t connects = 0, connects_failed = 0, reconnects = 0, connections_lost = 0, outages = 0;
  uint64_t open = 0;  // calls open now
};

class Driver;      // the sockets and threads of a client
struct CallState;  // what the handles and the driver know of a call

// One call. Copies share it; it may outlive its client.
class Handle {
 public:
  Handle();
  ~Handle();
  Handle(const Handle&);
  Handle& operator=(const Handle&);
  // Gives the call up: it is revoked at its gateway, and ends as expired, or as unknown where it may have
  // run and may not run twice. Nothing happens where it has ended.
  void cancel();
  // Blocks until it has ended. On a handle of no call: std::logic_error.
  const Result& wait() const;
  bool done() const;

 private:
  friend class Client;
  std::shared_ptr<CallState> state_;
};

class Client {
 public:
  // Throws std::invalid_argument, with a sentence that names the option, for options out of range, no gateway
  // or an address that can't be read; nothing is connected to before a call needs it.
  explicit Client(Options options);
  // Calls still open are cancelled; their callbacks have run when it returns. Destroyed from within one of
  // its callbacks, it returns at once, and the callbacks that are left run after that one.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts a call. `done` runs exactly once; it may be empty. Throws std::invalid_argument for a command that
  // no gateway could read (no profile, an empty or too long statement, an invalid timeout, a figure below 0),
  // before anything is sent. After close() the call is refused.
  Handle send(Command command, Callback done = {});
  // The same, and waits for its end. The rows are the caller's.
  Result call(Command command);

  // Asks for page `page` (from 1) of a paged result at the gateway that stores it, or releases the result
  // with 0. Harmless to ask again. Throws std::invalid_argument for a gateway that is none of the client's.
  Handle request_page(const std::string& gateway, const std::string& token, uint64_t page, double timeout_ms,
                      const std::string& key = {}, Callback done = {});

  // Asks about a topic's versions and declarations; every gateway of the cluster gives the same answer.
  // `method`: "propose", "deprecate", "retire", "declare", "withdraw" or "bulletin"; `params`: a JSON object
  // (docs/bulletins.md), without the topic's name. Idempotent, so it is retried as replayable commands are.
  // Answered: `rows` is the result, as JSON. Failed with a change refused: `rows` is the list of
  // compatibility violations, as JSON. Throws std::invalid_argument for another method or params that are no
  // object.
  Handle call_topic_method(const std::string& method, const std::string& topic, const std::string& params,
                           double timeout_ms, Callback done = {});
  // Proposes a version with this schema.
  Handle propose(const std::string& topic, const std::string& schema, double timeout_ms, Callback done = {}) {
    return call_topic_method("propose", topic, "{\"schema\":" + schema + "}", timeout_ms, std::move(done));
  }
  // Declares what one subscriber relies on, in place of what it had declared before.
  Handle declare(const std::string& topic, const std::string& declaration, double timeout_ms,
                 Callback done = {}) {
    return call_topic_method("declare", topic, declaration, timeout_ms, std::move(done));
  }

  // Accepts no further call; waits up to so long for those open, then cancels the rest and waits for their
  // end. Called from within a callback it does not wait. Gives how many were cancelled.
  size_t close(double wait_ms);

  Stats stats() const;

 private:
  Handle submit(Command command, const std::function<void(CallState&)>& set_request, Callback done);

  std::shared_ptr<Driver> driver_;
};

// Reads a paged result to its end, some pages ahead of the caller, over whatever connections there are. One
// thread at a time. The client must outlive it.
class PageReader {
 public:
  struct Options {
    int prefetch_pages = 4;         // asked for beyond the one wanted, 0 to 32
    double page_timeout_ms = 5000;  // of one page, on one attempt
    double give_up_ms = 120000;     // without any page, through outages: then next() gives kFailed
  };
  // After a paged command was answered.
  PageReader(Client& client, const Result& result, std::string key, Options options);
  // With the token alone, from page `from_page` on; `gateways` are asked in turn which of them has it.
  PageReader(Client& client, std::vector<std::string> gateways, std::string token, std::string key,
             uint64_t from_page, Options options);
  ~PageReader();

  enum class Next { kPage, kEnd, kGone, kFailed };
  // The next page's rows; blocks. kGone: its lease has expired, or it was released, evicted or lost. kFailed:
  // no gateway answered within give_up_ms; next() may be called again.
  Next next(std::string& rows);
  void release();                                    // the gateway may discard the result; reading has ended
  uint64_t last_page() const { return last_page_; }  // the last page given; 0: none yet
  uint64_t pages() const { return pages_; }          // 0: not known yet

 private:
  void prefetch();
  void cancel_prefetched();

  Client& client_;
  std::vector<std::string> gateways_;
  std::string token_, key_;
  std::string first_page_;  // the first page's rows, which came with the answer
  bool has_first_page_ = false;
  Options options_;
  uint64_t last_page_ = 0, pages_ = 0;
  uint64_t last_requested_page_ = 0;  // the last page asked for
  size_t current_gateway_ = 0,
         gateways_without_result_ = 0;  // that is asked; how many said that the result is not there
  std::vector<Handle> prefetched_;      // pages asked for and not given yet, in order
};

// The answer of one gateway to a heartbeat.
struct Ping {
  bool answered = false, healthy = false;
  bool reads_retry_markers = false;
  double elapsed_ms = 0;
  std::string reason;  // where it was not answered
};
// Asks for a heartbeat, over a connection of its own, and blocks for at most `timeout_ms`. Throws
// std::invalid_argument where the address can't be read.
Ping ping(const std::string& gateway, double timeout_ms);

}  // namespace firvalve::client
