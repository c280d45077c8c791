// The engines' side: a pool of connections for each engine, and the sends that they carry.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "core/core.h"
#include "net/connection.h"
#include "net/connection_end.h"
#include "proto/store/query.h"

namespace firvalve::net {

class EngineConnections : public EngineTransport {
 public:
  struct Times {
    Ms connect = 0, idle = 0;  // until a connection must be up; until the engine closes an idle one
  };
  // Bytes of a page; the platform's own figure unless the operator's file states another. What a paged result
  // may have, the shelf decides.
  EngineConnections(Loop& loop, Metrics& counters, Times times);
  void limit_page(size_t bytes) { page_most_ = bytes; }
  ~EngineConnections() override;

  void serve(Core& core) { core_ = &core; }
  void observe(ConnectionObserver observer) { observer_ = std::move(observer); }
  void start_attempt(TimePoint now, const AttemptRequest& request) override;
  void cancel_attempt(TimePoint now, AttemptId attempt, Outcome outcome) override;
  void set_priority(TimePoint now, AttemptId attempt, int priority) override;
  void update_engine(TimePoint now, uint32_t engine, std::string_view address, EngineState state) override;

  void due(Ms now);  // ends what has run out of time, and tells the core of what has ended
  Ms next_due() const { return endings_.empty() ? look_at_ : 1; }  // 0: nothing is due; 1: at once

 private:
  class EngineConnection;
  enum class Task { kIdle, kSend, kErrand, kDiscard };
  struct Send {
    AttemptRequest order;
    proto::Query query;
    EngineConnection* on = nullptr;  // the connection that starts it or asks for its news
    bool begun = false;              // some of its start has been handed to a connection that is up
    bool told = false;               // all of it: it may have run
    Outcome as = Outcome::kCancelled;
    Ms asked_at = 0;                  // the last call for it that may have come to its engine
    Ms spoilt_since = 0, ask_at = 0;  // 0: not so; when to ask again, 0: not by itself
    Ms refused_since = 0;             // no connection was to be had for it: one that is free is used at once
    Ms ends_at = 0;                   // 0: not by itself; set once it is given up
  };
  struct Pool {
    std::string address;  // empty: it belongs to another engine by now
    bool gone = false;
    int sends = 0;
    std::map<EngineConnection*, std::unique_ptr<EngineConnection>> links;
    std::vector<EngineConnection*> idle;  // the one that has rested longest first
  };
  struct Ending {
    uint64_t send = 0;
    Outcome outcome = Outcome::kOk;
    std::string rows;
  };

  EngineConnection* link_to(uint32_t engine, Ms now);  // idle or new; null: none can be had
  static Ms unasked_end(const Send& send);             // it has ended by then, unless it is asked for again
  void drop(EngineConnection& link, ConnectionEnd why);
  void drop_idle(uint32_t engine);
  void rest(EngineConnection& link, Ms now);
  void carry(EngineConnection& link, Ms now);  // the link is up: what it is for goes out
  void handle(EngineConnection& link, const proto::HttpAnswer& answer);
  void lost(EngineConnection& link, ConnectionEnd why);
  static ConnectionEnd why_late(const EngineConnection& link);
  void begin(EngineConnection& link, Ms now);
  Ms ends_at(const EngineConnection& link) const;  // 0: not by itself
  void look(Ms now);
  void give(EngineConnection& link, uint64_t id, Send& send, Ms now);
  void ask(uint64_t id, Ms now);  // for its news, or that it be given up
  void ask_past_refusal(uint64_t id, Ms now);
  void ask_again(uint64_t id, Ms now);
  void ask_later(Send& send, Ms now, Ms wait = proto::kNewsWait);
  void errand(EngineConnection& link, uint64_t send, std::string call, bool ends_send, Ms now);
  void errand(uint64_t send, std::string call, Ms now);  // one that nothing waits for
  void give_up(uint64_t id, Outcome as, Ms now);
  void end(uint64_t send, Outcome outcome, std::string rows = {});
  void release_address(uint32_t engine, Pool& pool);
  void forget(uint32_t engine);  // once it has gone and nothing of it is left

  Loop& loop_;
  Metrics& counters_;
  Times times_;
  size_t page_most_ = proto::kHttpBodyMost;
  Core* core_ = nullptr;
  ConnectionObserver observer_;
  std::map<uint32_t, Pool> pools_;
  std::map<std::string, uint32_t, std::less<>> engine_at_;  // by address: the pool that has it
  std::map<uint64_t, Send> sends_;
  std::vector<Ending> endings_, telling_;
  Ms look_at_ = 0;  // nothing runs out of time before; 0: nothing does
};

}  // namespace firvalve::net
