// Client library for firvalve's gateways: enforces deadlines, marks retries and keeps them within a budget,
// honours Retry-After and spreads reconnects after an outage. docs/client.md is the guide; this is the only
// header that a program includes.
//
//   firvalve::client::Options options;
//   options.gateways = {"127.0.0.1:6565"};
//   firvalve::client::Client client(options);
//   const auto result = client.call({.profile = "lookup", .statement = "select 1", .timeout_ms = 800});
//   if (result.outcome == firvalve::client::Outcome::kAnswered) std::cout << result.rows;
//
// Threads. Every function is safe to call from any thread, also from a callback. A client starts two threads:
// the I/O thread handles sockets and scheduling and runs no user code; the callback thread runs callbacks and
// the log function, one at a time, in the order in which calls ended. A slow callback delays other callbacks,
// but no answer, deadline or blocking call(). A call counts as open until its callback has returned, so
// `max_open_calls` bounds the backlog behind a slow callback.
//
// Times are milliseconds with fractions. Deadlines use the monotonic clock, so changes of the system clock do
// not affect them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "client/outcome.h"

namespace firvalve::client {

// Whether a command may safely run twice. Use kNonReplayable unless it is known to be replayable.
enum class Effect { kNonReplayable, kReplayable };

struct Command {
  std::string profile;     // the class of query, as configured at the gateway
  std::string statement;   // 1 to kMaxStatementBytes bytes
  double timeout_ms = 0;   // of the whole call, including retries and waits; above 0, at most a day
  double estimate_ms = 0;  // estimated CPU time on one core; 0: unknown
  double memory_mb = 0;    // estimated memory need; 0: unknown
  Effect effect = Effect::kNonReplayable;
  // Asks for a paged result: the answer is a token and the first page; PageReader reads the others. A gateway
  // without paged results returns all rows.
  bool paged = false;
  // Paged: a client must present the same key to read the pages; empty: the token suffices.
  std::string key = {};
  // Idempotency key: the cluster runs the command once per key, whichever gateways receive it, so that it is
  // safe to repeat. It fails if the gateways form no cluster. At most 128 bytes; empty: an ordinary command.
  std::string run_once_key = {};
};
extern const size_t kMaxStatementBytes;  // the longest statement that a gateway accepts

struct Result {
  Outcome outcome = Outcome::kFailed;
  std::string rows;           // kAnswered: tabs between columns, a line feed after each row
  bool may_have_run = false;  // false: it is certain that no attempt reached an engine
  bool cancelled = false;
  int attempts = 0;
  double elapsed_ms = 0;      // since call() or send()
  double retry_after_ms = 0;  // kRefused: time to wait before the next try; 0: unknown
  std::string why;            // the cause, a short text for logs; empty if kAnswered
  std::string gateway;        // the gateway of the last attempt; empty: no attempt was made
  // Paged commands. If the token is empty, the result is not paged and `rows` holds all of it.
  std::string token;
  uint64_t pages = 0, total_rows = 0;
  bool gone = false;          // page request: the gateway does not, or no longer, store the result
  bool no_such_page = false;  // page request: the number is past the last page
};
using Callback = std::function<void(const Result&)>;

enum class LogLevel { kInfo, kWarning };

struct Options {
  // HOST:PORT, where HOST is a name, an IPv4 address or an IPv6 address in brackets. The constructor resolves
  // names once. At least one gateway.
  std::vector<std::string> gateways;
  // Of the random generator; 0: drawn from the system. Clients with the same seed act in step.
  uint64_t seed = 0;

  int max_connections = 4;            // per gateway, 1 to 1,000
  size_t max_open_calls = 10000;      // further calls end as kRefused without an attempt
  size_t max_answer_bytes = 1 << 20;  // on the wire; a longer answer closes its connection

  // Retry budget: retries within a window are at most this share of the first attempts in it, plus a random
  // rounding below 1 (see docs/client.md). 0: no retries.
  double retry_share = 0.1;
  double retry_window_ms = 10000;
  int max_attempts = 3;                           // per call; 1: no retries
  double backoff_ms = 50, max_backoff_ms = 2000;  // exponential, with full jitter, per call
  double max_retry_after_ms = 30000;              // limit for a gateway's Retry-After

  // After an outage, the client probes the gateway after a random time up to this. Doubles with each failed
  // probe.
  double spread_ms = 4000, max_spread_ms = 30000;

  double connect_timeout_ms = 1000;
  // If calls are open and no byte has arrived for this long, a heartbeat is requested; after the same time
  // again without an answer, the gateway is ejected.
  double silence_timeout_ms = 1000;
  double idle_timeout_ms = 3500;  // idle connections are closed; must be below the gateways' idle timeout
  // Send the id of the first attempt with each retry, if the gateway reads it.
  bool send_retry_markers = true;

  // Called when a gateway is ejected or reinstated, on the callback thread.
  std::function<void(LogLevel, std::string_view)> log;
};

struct Stats {
  uint64_t calls = 0;  // all calls submitted, including those refused by the client
  uint64_t answered = 0, refused = 0, failed = 0, unknown = 0, expired = 0;  // ended calls, by outcome
  uint64_t cancelled = 0;                                                    // part of the ended calls
  uint64_t refused_without_attempt = 0;                                      // part of `refused`
  uint64_t attempts = 0;                                                     // first attempts and retries
  uint64_t retries = 0;             // counted against the retry budget
  uint64_t idle_close_retries = 0;  // outside the budget: the gateway closed an idle connection
  uint64_t revoked = 0, late_answers = 0;
  uint64_t connects = 0, connects_failed = 0, reconnects = 0, connections_lost = 0, outages = 0;
  uint64_t open = 0;  // calls open now
};

class Driver;      // sockets and threads of a client
struct CallState;  // shared by the handles and the driver

// Refers to one call. Copies refer to the same call; a handle may outlive its client.
class Handle {
 public:
  Handle();
  ~Handle();
  Handle(const Handle&);
  Handle& operator=(const Handle&);
  // Cancels the call and revokes its attempt at the gateway. It ends as kExpired, or as kUnknown if it is
  // non-replayable and may have run. No effect if it has ended.
  void cancel();
  // Blocks until the call has ended. Throws std::logic_error on an empty handle.
  const Result& wait() const;
  bool done() const;

 private:
  friend class Client;
  std::shared_ptr<CallState> state_;
};

class Client {
 public:
  // Throws std::invalid_argument if an option is out of range, no gateway is given or an address is invalid;
  // the message names the option. Connects only when a call needs a connection.
  explicit Client(Options options);
  // Cancels the open calls and waits for their callbacks. Within a callback it returns at once, and the
  // remaining callbacks run after the current one.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts a call. `done` runs exactly once; it may be empty. Throws std::invalid_argument, before anything
  // is sent, for an invalid command (no profile, an empty or too long statement, an invalid timeout, a
  // negative estimate). After close() the call is refused.
  Handle send(Command command, Callback done = {});
  // Like send(), but blocks until the call has ended.
  Result call(Command command);

  // Requests page `page` (from 1) of a paged result from the gateway that stores it; 0 releases the result.
  // Idempotent. Throws std::invalid_argument for a gateway that is not in Options::gateways.
  Handle request_page(const std::string& gateway, const std::string& token, uint64_t page, double timeout_ms,
                      const std::string& key = {}, Callback done = {});

  // Reads or changes a topic's versions and declarations; every gateway of the cluster gives the same answer.
  // `method`: "propose", "deprecate", "retire", "declare", "withdraw" or "bulletin"; `params`: a JSON object
  // (docs/topics.md), without the topic's name. Idempotent, so it is retried like replayable commands.
  // kAnswered: `rows` is the result, as JSON. kFailed because the change was refused: `rows` is the list of
  // compatibility violations, as JSON. Throws std::invalid_argument if `method` is unknown or `params` is not
  // a JSON object.
  Handle call_topic_method(const std::string& method, const std::string& topic, const std::string& params,
                           double timeout_ms, Callback done = {});
  // Proposes a new version of the topic with this schema (JSON).
  Handle propose(const std::string& topic, const std::string& schema, double timeout_ms, Callback done = {}) {
    return call_topic_method("propose", topic, "{\"schema\":" + schema + "}", timeout_ms, std::move(done));
  }
  // Declares the fields that one subscriber relies on (JSON). Replaces its earlier declaration.
  Handle declare(const std::string& topic, const std::string& declaration, double timeout_ms,
                 Callback done = {}) {
    return call_topic_method("declare", topic, declaration, timeout_ms, std::move(done));
  }

  // Refuses new calls, waits up to `wait_ms` for the open ones, then cancels the rest and waits until they
  // have ended. Returns the number of cancelled calls. Within a callback it returns 0 without waiting.
  size_t close(double wait_ms);

  Stats stats() const;

 private:
  Handle submit(Command command, const std::function<void(CallState&)>& set_request, Callback done);

  std::shared_ptr<Driver> driver_;
};

// Reads a paged result sequentially and prefetches pages; it survives lost connections. Not thread-safe. The
// client must outlive it.
class PageReader {
 public:
  struct Options {
    int prefetch_pages = 4;         // requested ahead of the next page, 0 to 32
    double page_timeout_ms = 5000;  // of one request for a page
    double give_up_ms = 120000;     // next() returns kFailed if no page arrives for this long
  };
  // Continues from the answer to a paged command.
  PageReader(Client& client, const Result& result, std::string key, Options options);
  // Reads from page `from_page` on, given the token. The `gateways` are tried in turn until one has the
  // result.
  PageReader(Client& client, std::vector<std::string> gateways, std::string token, std::string key,
             uint64_t from_page, Options options);
  ~PageReader();

  enum class Next { kPage, kEnd, kGone, kFailed };
  // Blocks until the next page has arrived and stores its rows. kGone: the result's lease has expired, or it
  // was released, evicted or lost. kFailed: no page arrived within give_up_ms; next() may be called again.
  Next next(std::string& rows);
  void release();                                    // lets the gateway discard the result; ends reading
  uint64_t last_page() const { return last_page_; }  // returned by next(); 0: none yet
  uint64_t pages() const { return pages_; }          // total; 0: not known yet

 private:
  void prefetch();
  void cancel_prefetched();

  Client& client_;
  std::vector<std::string> gateways_;
  std::string token_, key_;
  std::string first_page_;  // rows of the first page, from the answer to the command
  bool has_first_page_ = false;
  Options options_;
  uint64_t last_page_ = 0, pages_ = 0;
  uint64_t last_requested_page_ = 0;
  size_t current_gateway_ = 0, gateways_without_result_ = 0;
  std::vector<Handle> prefetched_;  // requested pages that next() has not returned yet, in order
};

// A gateway's answer to a heartbeat.
struct Ping {
  bool answered = false, healthy = false;
  bool reads_retry_markers = false;
  double elapsed_ms = 0;
  std::string why;  // the cause if not answered
};
// Sends a heartbeat request over a separate connection and blocks for at most `timeout_ms`. Throws
// std::invalid_argument if the address is invalid.
Ping ping(const std::string& gateway, double timeout_ms);

}  // namespace firvalve::client
