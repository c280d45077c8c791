// An engine as the gateways meet one: HTTP/1.1 calls that start queries, ask for their news and pages, and
// give them up. It runs nothing; what it does with a statement, the statement tells (script.h).
#pragma once

#include <list>
#include <map>
#include <string>
#include <vector>

#include "fakes/fake_host.h"
#include "fakes/fault_script.h"

namespace firvalve::fakes {

// From any thread, unless said otherwise.
class FakeEngine {
 public:
  struct Means {
    int slots = 0;              // queries at work at once, the rest wait their turn; 0: any number
    Ms full_behind = 1e18;      // one that would wait longer is turned away as full
    bool records_calls = true;  // false: calls() counts none, for runs of millions of calls
  };
  explicit FakeEngine(FakeHost& host, Means means, const std::string& address = "127.0.0.1:0");
  ~FakeEngine();

  std::string address() const { return address_; }
  // The process dies: connections reset, queries forgotten, the address refuses. And comes back there.
  void kill();
  void come_back();
  void hang(bool on);  // connections stay and new ones come up, and nothing is said

  // What came to it, over all its lives.
  int runs(const std::string& statement) const;  // that this statement was started
  int runs_most() const;                         // of any one statement
  int started() const;                           // queries, of all statements
  int calls(const std::string& start) const;     // calls whose first line begins so
  Ms first_call_at() const;                      // by monotonic_ms(); 0: none came
  Ms last_call_at() const;
  // Of each query given up or ended since: how long it was held after its rows were ready, in ms.
  std::vector<Ms> held_after_ready() const;

 private:
  class Session;
  struct Call {
    std::string line, id, statement;
  };
  struct Query {
    std::string statement;
    FaultScript script;
    Ms ready_at = 1e18, asked_at = 0;  // ready: known once it is at work
    bool noted = false, works = false;
    Session* waits = nullptr;  // the call that wants its news
    uint64_t number = 0;
  };
  void handle(Session& connection, const Call& call);
  void start(Session& connection, const Call& call);
  void tell(Session& connection, const std::string& id, int page, Ms asked_at);
  void answer(Session& connection, Query& query, int page);
  void begin(const std::string& id, Query& query);
  void leave(std::map<std::string, Query>::iterator at);  // forgotten, its slot free
  void begin_next();
  void forget_unasked();

  FakeHost& host_;
  const Means means_;
  std::string address_;
  // On the host's thread:
  std::unique_ptr<Listener> listener_;
  Connections<Session> connections_;
  std::map<std::string, Query> queries_;
  std::list<std::string> line_;  // of queries that wait for a slot
  int at_work_ = 0;
  uint64_t last_number_ = 0;
  bool hangs_ = false;
  int reset_next_ = 0;
  std::shared_ptr<bool> alive_;  // for what it has asked the host to do later
  // Shared:
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_, broken_, spoilt_;  // by statement
  std::vector<std::string> lines_;
  Ms first_at_ = 0, last_at_ = 0;
  std::vector<Ms> held_;
};

}  // namespace firvalve::fakes
