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
  struct Options {
    int slots = 0;              // maximum number of running queries, others are queued; 0: unlimited
    Ms max_queue_wait = 1e18;   // a query with a longer expected wait is rejected as full
    bool records_calls = true;  // false: calls() returns 0, which saves memory over millions of calls
  };
  explicit FakeEngine(FakeHost& host, Options options, const std::string& address = "127.0.0.1:0");
  ~FakeEngine();

  std::string address() const { return address_; }
  // Simulates a crash: resets all connections, drops all queries and refuses connections until restart(),
  // which listens on the same address again.
  void kill();
  void restart();
  void hang(bool on);  // accepts connections and calls, and sends no response

  // Counts since construction, including the time before a kill().
  int runs(const std::string& statement) const;  // how often this statement was started
  int max_runs_per_statement() const;            // the highest such count of any statement
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
    Ms ready_at = 1e18, polled_at = 0;  // ready_at is set when the query starts running
    bool note_sent = false, is_running = false;
    Session* waiting_session = nullptr;  // the session whose call awaits the status
    uint64_t run_number = 0;             // tells this query from an earlier one with the same id
  };
  void handle_call(Session& connection, const Call& call);
  void start_query(Session& connection, const Call& call);
  void respond_or_wait(Session& connection, const std::string& id, int page, Ms polled_at);
  void send_page(Session& connection, Query& query, int page);
  void run_query(const std::string& id, Query& query);
  void remove_query(std::map<std::string, Query>::iterator at);  // frees its slot for the next queued query
  void run_queued();
  void expire_unpolled();

  FakeHost& host_;
  const Options options_;
  std::string address_;
  // Used on the host's thread only.
  std::unique_ptr<Listener> listener_;
  Connections<Session> connections_;
  std::map<std::string, Query> queries_;
  std::list<std::string> queue_;  // ids of queries that wait for a slot
  int running_ = 0;
  uint64_t last_run_number_ = 0;
  bool is_hanging_ = false;
  int reset_next_ = 0;
  std::shared_ptr<bool> alive_;  // false after destruction; checked by timers on the host
  // Guarded by mutex_.
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_, broken_responses_, corrupted_;  // by statement
  std::vector<std::string> call_lines_;
  Ms first_call_at_ = 0, last_call_at_ = 0;
  std::vector<Ms> held_after_ready_;
};

}  // namespace firvalve::fakes
