// The engines' side: a pool of connections for each engine, and the attempts that they carry.
//
// What it keeps to: no start is written after its client has closed or its engine began to drain; a start
// that may have arrived is never written again; an attempt that may run is polled, or cancelled, until it has
// ended or nobody has polled it for so long that its engine has ended it. The loop's thread alone.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/core.h"
#include "net/close_reason.h"
#include "net/connection.h"
#include "net/engine_connection.h"
#include "proto/store/attempt_exchange.h"

namespace firvalve::net {

class EngineConnections : public EngineTransport, private EngineConnection::Owner {
 public:
  struct Timeouts {
    Duration connect{};  // until a connection must be established
    Duration idle{};     // until the engine closes an idle connection
  };
  // The loop and the metrics outlive this.
  EngineConnections(Loop& loop, Metrics& metrics, const Timeouts& timeouts);
  ~EngineConnections() override;

  // Of an engine's page; the platform's own figure unless it is set. What a paged result may have in all, the
  // result store decides.
  void set_max_page_bytes(size_t bytes) { max_page_bytes_ = bytes; }
  void set_core(Core& core) { core_ = &core; }  // before the first attempt
  void observe(ConnectionObserver observer) { observer_ = std::move(observer); }

  void start_attempt(TimePoint now, const AttemptRequest& request) override;
  void cancel_attempt(TimePoint now, AttemptId attempt, Outcome outcome) override;
  void set_priority(TimePoint now, AttemptId attempt, int priority) override;
  void update_engine(TimePoint now, uint32_t engine, std::string_view address, EngineState state) override;

  void run_due(TimePoint now);  // ends what has run out of time, and gives the core the finished attempts
  std::optional<TimePoint> next_due() const;

 private:
  using Task = EngineConnection::Task;

  struct Attempt {
    AttemptRequest request;
    proto::AttemptExchange exchange;
    EngineConnection* connection = nullptr;  // starts or polls it
    bool is_start_written = false;           // at least in part, to an established connection
    bool may_have_run = false;               // all of the start was sent
    Outcome cancelled_as = Outcome::kCancelled;
    std::optional<TimePoint> last_call_at;      // the last of its calls that may have reached its engine
    std::optional<TimePoint> unreadable_since;  // no poll since then had a usable response
    std::optional<TimePoint> poll_at;           // the next poll, where one is scheduled
    std::optional<TimePoint>
        unreachable_since;  // no connection could be had: the next one that is free polls it
    std::optional<TimePoint> cancel_expires_at;  // it is being cancelled, and ends then at the latest
  };
  struct EnginePool {
    std::string address;  // empty: it belongs to another engine by now
    bool is_delisted = false;
    int attempt_count = 0;
    std::map<EngineConnection*, std::unique_ptr<EngineConnection>> connections;
    std::vector<EngineConnection*> idle;  // the one that has been idle longest first
  };
  struct FinishedAttempt {
    AttemptId attempt{};
    Outcome outcome = Outcome::kOk;
    std::string rows;
  };

  // Of EngineConnection::Owner.
  void handle_connected(EngineConnection& connection, TimePoint now) override { write_call(connection, now); }
  void handle_response(EngineConnection& connection, const proto::HttpResponse& response) override;
  void handle_lost(EngineConnection& connection, CloseReason reason) override;
  void evict(EngineConnection& connection) override { close_connection(connection, CloseReason::kEvicted); }

  // Pools and connections (engine_connections.cpp).
  EngineConnection* acquire_connection(uint32_t engine, TimePoint now);  // idle or new; null: none can be had
  EngineConnection* take_idle_connection(EnginePool& pool);
  EngineConnection* open_connection(EnginePool& pool, uint32_t engine, TimePoint now);
  void close_connection(EngineConnection& connection, CloseReason reason);
  void close_idle_connections(uint32_t engine);
  void make_idle(EngineConnection& connection, TimePoint now);
  void make_idle_or_close(EngineConnection& connection, const proto::HttpResponse& response, TimePoint now);
  void restart_timeout(EngineConnection& connection, TimePoint now);
  TimePoint timeout_at(const EngineConnection& connection) const;
  static CloseReason timeout_reason(const EngineConnection& connection);
  void release_address(uint32_t engine, EnginePool& pool);
  void forget_if_unused(uint32_t engine);  // a delisted engine of which nothing is left
  void check_timeouts(TimePoint now);
  void check_attempt_timeouts(TimePoint now);
  void check_connection_timeouts(TimePoint now);
  void check_at(TimePoint time) { check_at_ = earlier_of<TimePoint>(check_at_, time); }

  // Attempts: their calls, and what the responses mean (engine_attempts.cpp).
  void assign_attempt(EngineConnection& connection, AttemptId id, Attempt& attempt, TimePoint now);
  void write_call(EngineConnection& connection, TimePoint now);  // once it is established: what it is for
  bool append_attempt_start(std::string& request, const EngineConnection& connection, Attempt& attempt,
                            TimePoint now);
  void poll_attempt(AttemptId id, TimePoint now);  // or cancel it again, where it is being cancelled
  void poll_unreachable(AttemptId id, TimePoint now);
  void poll_elsewhere(AttemptId id, TimePoint now);
  void schedule_poll(Attempt& attempt, TimePoint now, Duration delay);
  void handle_attempt_response(EngineConnection& connection, const proto::HttpResponse& response,
                               AttemptId id, TimePoint now);
  void handle_cancel_response(EngineConnection& connection, const proto::HttpResponse& response, AttemptId id,
                              TimePoint now);
  void handle_unusable_response(EngineConnection& connection, AttemptId id, Attempt& attempt, TimePoint now);
  ResultStore::AppendResult store_rows(AttemptId id, Attempt& attempt, TimePoint now);
  void finish_from_response(AttemptId id, Attempt& attempt, Outcome outcome, TimePoint now);
  void detach_connection(Attempt& attempt, Outcome outcome, TimePoint now);
  void cancel_and_await(AttemptId id, Outcome outcome, TimePoint now);
  void cancel_at_engine(AttemptId id, TimePoint now);  // nothing waits for the response
  std::string cancel_call(AttemptId id, const EngineConnection& connection) const;
  void make_side_call(EngineConnection& connection, AttemptId id, std::string call, bool finishes_attempt,
                      TimePoint now);
  void finish_attempt(AttemptId id, Outcome outcome, std::string rows = {});
  static TimePoint unpolled_expiry(
      const Attempt& attempt);  // it has ended by then, unless it is polled again

  static constexpr Duration kNetworkSlack =
      std::chrono::milliseconds(100);  // past times that the protocol states

  Loop& loop_;
  Metrics& metrics_;
  const Timeouts timeouts_;
  size_t max_page_bytes_ = proto::kMaxHttpBodyBytes;
  Core* core_ = nullptr;
  ConnectionObserver observer_;
  std::map<uint32_t, EnginePool> pools_;
  std::map<std::string, uint32_t, std::less<>> engine_at_;  // by address: the pool that has it
  std::map<AttemptId, Attempt> attempts_;
  std::vector<FinishedAttempt> finished_, reporting_;
  std::optional<TimePoint> check_at_;  // nothing runs out of time before
};

}  // namespace firvalve::net
