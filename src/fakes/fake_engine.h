// A fake engine: serves the HTTP/1.1 calls with which gateways start queries, poll their status, fetch pages
// and cancel them. It executes nothing; each statement says how the engine responds to it (fault_script.h).
#pragma once

#include <list>
#include <map>
#include <string>
#include <vector>

#include "fakes/fake_host.h"
#include "fakes/fault_script.h"

namespace firvalve::fakes {

// The public functions may be called from any thread.
class FakeEngine {
 public:
  struct Means {
    int slots = 0;              // maximum number of running queries, others are queued; 0: unlimited
    Ms full_behind = 1e18;      // a query with a longer expected wait is rejected as full
    bool records_calls = true;  // false: calls() returns 0, which saves memory over millions of calls
  };
  explicit FakeEngine(FakeHost& host, Means means, const std::string& address = "127.0.0.1:0");
  ~FakeEngine();

  std::string address() const { return address_; }
  // Simulates a crash: resets all connections, drops all queries and refuses connections until come_back(),
  // which listens on the same address again.
  void kill();
  void come_back();
  void hang(bool on);  // accepts connections and calls, and sends no response

  // Counts since construction, including the time before a kill().
  int runs(const std::string& statement) const;  // how often this statement was started
  int runs_most() const;                         // the highest such count of any statement
  int started() const;                           // number of started queries, over all statements
  int calls(const std::string& start) const;     // number of calls whose request line starts with `start`
  Ms first_call_at() const;                      // by monotonic_ms(); 0: no call yet
  Ms last_call_at() const;
  // For each query that was deleted or expired: the time from its rows being ready until then, in ms.
  std::vector<Ms> held_after_ready() const;

 private:
  class Session;
  struct Call {
    std::string line, id, statement;
  };
  struct Query {
    std::string statement;
    FaultScript script;
    Ms ready_at = 1e18, asked_at = 0;  // ready_at is set when the query starts running
    bool noted = false, works = false;
    Session* waits = nullptr;  // the session whose call awaits the status
    uint64_t number = 0;       // tells this query from an earlier one with the same id
  };
  void handle(Session& connection, const Call& call);
  void start(Session& connection, const Call& call);
  void tell(Session& connection, const std::string& id, int page, Ms asked_at);
  void answer(Session& connection, Query& query, int page);
  void begin(const std::string& id, Query& query);
  void leave(std::map<std::string, Query>::iterator at);  // frees its slot for the next queued query
  void begin_next();
  void forget_unasked();

  FakeHost& host_;
  const Means means_;
  std::string address_;
  // Used on the host's thread only.
  std::unique_ptr<Listener> listener_;
  Connections<Session> connections_;
  std::map<std::string, Query> queries_;
  std::list<std::string> line_;  // ids of queries that wait for a slot
  int at_work_ = 0;
  uint64_t last_number_ = 0;
  bool hangs_ = false;
  int reset_next_ = 0;
  std::shared_ptr<bool> alive_;  // false after destruction; checked by timers on the host
  // Guarded by mutex_.
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_, broken_, spoilt_;  // by statement
  std::vector<std::string> lines_;
  Ms first_at_ = 0, last_at_ = 0;
  std::vector<Ms> held_;
};

}  // namespace firvalve::fakes
