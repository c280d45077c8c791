// A client of firvalve's gateways: deadlines kept, repeats marked and budgeted, refusals honoured, reconnects
// spread. docs/client.md is the guide; this header is all that a program includes.
//
//   firvalve::client::Options options;
//   options.gateways = {"127.0.0.1:6565"};
//   firvalve::client::Client client(options);
//   firvalve::client::Result r = client.call({.profile = "lookup", .statement = "select 1", .timeout_ms =
//   800}); if (r.outcome == firvalve::client::Outcome::kAnswered) std::cout << r.rows;
//
// Threads. Every function may be called from any thread, from within callbacks too. A client has two threads
// of its own: one for sockets and decisions, which runs no code of the user's, and one on which callbacks and
// log lines are run, one at a time, in the order in which calls ended. A callback that takes its time delays
// other callbacks, never an answer, a deadline or a blocking call(); calls count as open until their callback
// has returned, so that `open_most` bounds what a slow one lets pile up.
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

// Whether running it twice does harm. What is not known to be replayable is not.
enum class Effect { kNonReplayable, kReplayable };

struct Command {
  std::string profile;     // the gateway's word for the class of query
  std::string statement;   // 1 to kStatementMost bytes
  double timeout_ms = 0;   // for the whole of it, repeats and waits included; above 0, at most a day
  double estimate_ms = 0;  // of its work on one core; 0: not told
  double memory_mb = 0;    // that it will need; 0: not told
  Effect effect = Effect::kNonReplayable;
  bool paged = false;    // the answer is a token and the first page, where the gateway gives pages; see Pages
  std::string key = {};  // paged: only who tells the same key reads the pages; empty: the token alone does
  // It runs once under this name, however many gateways are asked for it: safe to be asked for again, so
  // replayable. Where gateways hold no duties it fails. 128 bytes at most; empty: an ordinary command.
  std::string merge = {};
};
extern const size_t kStatementMost;  // bytes: the longest that a gateway reads

struct Result {
  Outcome outcome = Outcome::kFailed;
  std::string rows;           // answered: a tab between columns, a line feed after each row
  bool may_have_run = false;  // false is proof: no send of it can have come to an engine
  bool cancelled = false;
  int sends = 0;
  double took_ms = 0;       // from call() or send()
  double come_back_ms = 0;  // refused: earlier is useless; 0: nothing is known
  std::string why;          // a few words for a log; empty when answered
  std::string gateway;      // that answered, refused or failed it; empty: none did
  // Of a paged command. No token: the gateway gives no pages, and `rows` are all.
  std::string token;
  uint64_t pages = 0, all_rows = 0;
  bool gone = false;          // of a page: the result is not, or no longer, there
  bool no_such_page = false;  // of a page: past the last
};
using Callback = std::function<void(const Result&)>;

enum class LogLevel { kInfo, kWarning };

struct Options {
  // HOST:PORT, with a name, an IPv4 address or an IPv6 address in brackets. Names are looked up once, by the
  // constructor. At least one.
  std::vector<std::string> gateways;
  uint64_t seed = 0;  // of all random draws; 0: from the system, as clients that share one act alike

  int links_most = 4;            // connections to one gateway, 1 to 1,000
  size_t open_most = 10000;      // calls open at once; one more is refused here
  size_t answer_most = 1 << 20;  // bytes of an answer as it comes; a longer one ends its connection

  // Repeats within a window are at most this share of the first tries in it (and one call's worth of luck,
  // see docs/client.md). A call is sent so many times at most. 0 and 1: never again.
  double retry_share = 0.1;
  double retry_window_ms = 10000;
  int sends_most = 3;
  double backoff_ms = 50, backoff_most_ms = 2000;  // full jitter between the sends of one call
  double holdoff_most_ms = 30000;                  // longer advice to stay away is cut to it

  // After an outage, a client comes back at a moment drawn from this span, which doubles with each failure.
  double spread_ms = 4000, spread_most_ms = 30000;

  double connect_ms = 1000;  // until a connection must be up
  double silence_ms = 1000;  // without a byte while calls are open: a heartbeat is asked for; as long again,
                             // and the gateway is left
  double idle_ms = 3500;     // connections that rest are closed; less than the gateways' own time for it
  bool marks = true;         // tell a repeat's first try to gateways that say they read such marks

  // Called for changes worth a line: gateways left and back. On the callbacks' thread.
  std::function<void(LogLevel, std::string_view)> log;
};

struct Stats {
  uint64_t calls = 0;                                                        // taken from the user
  uint64_t answered = 0, refused = 0, failed = 0, unknown = 0, expired = 0;  // by their end
  uint64_t cancelled = 0;                                                    // of those
  uint64_t stopped_here = 0;  // of the refused: without having been sent
  uint64_t sends = 0;         // first tries and repeats
  uint64_t repeats = 0;       // within the budget
  uint64_t crossings = 0;     // beside it: once more after a gateway's close of an idle connection
  uint64_t revoked = 0, late_answers = 0;
  uint64_t connects = 0, connects_failed = 0, reconnects = 0, links_lost = 0, outages = 0;
  uint64_t open = 0;  // now
};

class Driver;      // the sockets and threads of a client
struct CallState;  // what the handles and the driver know of a call

// One call under way. Copies share it; it may outlive its client.
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
  // or an address that can't be read; nothing is connected to before a call wants it.
  explicit Client(Options options);
  // Calls still open are cancelled; their callbacks have run when it returns. Destroyed from within one of
  // its callbacks, it returns at once, and the callbacks that are left run after that one.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts a call. `done` runs exactly once; it may be empty. Throws std::invalid_argument for a command that
  // no gateway could read (no profile, an empty or too long statement, a time-out that is none, a figure
  // below 0), before anything is sent. After close() the call is refused.
  Handle send(Command command, Callback done = {});
  // The same, and waits for its end. The rows are the caller's.
  Result call(Command command);

  // Asks for page `page` (from 1) of a paged result at the gateway that has it, or gives the result up with
  // 0. Harmless to ask again. Throws std::invalid_argument for a gateway that is none of the client's.
  Handle page(const std::string& gateway, const std::string& token, uint64_t page, double timeout_ms,
              const std::string& key = {}, Callback done = {});

  // Asks about a bulletin's versions and declarations, any gateway of the fleet: the answer is the same.
  // `method`: "propose", "deprecate", "retire", "declare", "withdraw" or "bulletin"; `params`: a JSON object
  // of what it wants (docs/bulletins.md), without the bulletin's name. Asked again it does nothing twice, so
  // it is repeated as replayable commands are. Answered: `rows` is the result, as JSON. Failed with a change
  // refused: `rows` is the list of breaches, as JSON. Throws std::invalid_argument for another method or
  // params that are no object.
  Handle ask(const std::string& method, const std::string& bulletin, const std::string& params,
             double timeout_ms, Callback done = {});
  // A version with this schema.
  Handle propose(const std::string& bulletin, const std::string& schema, double timeout_ms,
                 Callback done = {}) {
    return ask("propose", bulletin, "{\"schema\":" + schema + "}", timeout_ms, std::move(done));
  }
  // What one subscriber relies on, in place of what it had declared before.
  Handle declare(const std::string& bulletin, const std::string& declaration, double timeout_ms,
                 Callback done = {}) {
    return ask("declare", bulletin, declaration, timeout_ms, std::move(done));
  }

  // No call is taken any more; waits up to so long for those open, then cancels the rest and waits for their
  // end. Called from within a callback it does not wait. Gives how many were cancelled.
  size_t close(double wait_ms);

  Stats stats() const;

 private:
  Handle submit(Command command, const std::function<void(CallState&)>& set_request, Callback done);

  std::shared_ptr<Driver> driver_;
};

// Reads a paged result to its end, some pages ahead of the reader, over whatever connections there are. One
// thread at a time. The client must outlive it.
class Pages {
 public:
  struct Options {
    int ahead = 4;                  // pages asked for beyond the one wanted, 0 to 32
    double page_timeout_ms = 5000;  // of one page, on one try
    double give_up_ms = 120000;     // without any page, through outages: then next() gives kFailed
  };
  // After a paged command was answered.
  Pages(Client& client, const Result& result, std::string key, Options options);
  // With the token alone, from page `from` on; `gateways` are asked in turn which of them has it.
  Pages(Client& client, std::vector<std::string> gateways, std::string token, std::string key, uint64_t from,
        Options options);
  ~Pages();

  enum class Next { kPage, kEnd, kGone, kFailed };
  // The next page's rows; blocks. kGone: the lease is over, or it was released, evicted or lost. kFailed: no
  // gateway answered within give_up_ms; next() may be called again.
  Next next(std::string& rows);
  void release();                            // the gateway may forget it; reading is over
  uint64_t at() const { return at_; }        // the last page given; 0: none yet
  uint64_t pages() const { return pages_; }  // 0: not known yet

 private:
  void ask_ahead();
  void cancel_ahead();

  Client& client_;
  std::vector<std::string> gateways_;
  std::string token_, key_;
  std::string first_;  // the first page's rows, which came with the answer
  bool has_first_ = false;
  Options options_;
  uint64_t at_ = 0, pages_ = 0;
  uint64_t asked_ = 0;                // the last page asked for
  size_t gateway_ = 0, gone_at_ = 0;  // that is asked; how many said that the result is not there
  std::vector<Handle> ahead_;         // pages asked for and not given yet, in order
};

// Asks one gateway for a heartbeat, over a connection of its own, and blocks for at most `timeout_ms`.
// Throws std::invalid_argument where the address can't be read.
struct Ping {
  bool answered = false, healthy = false, marks = false;
  double took_ms = 0;
  std::string why;  // where it was not answered
};
Ping ping(const std::string& gateway, double timeout_ms);

}  // namespace firvalve::client
