// The engine-facing transport: a connection pool per engine, and the attempts that the connections carry.
//
// Guarantees: no start is written after its client has closed or its engine has begun to drain. A start that
// may have reached the engine is never written again. An attempt that may be running is polled or cancelled
// until it ends, or until it has gone unpolled for so long that the engine has ended it. Must be used on the
// loop's thread only.
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
    Duration connect{};  // for establishing a connection
    Duration idle{};     // after which the engine closes an idle connection
  };
  // The loop and the metrics must outlive this object.
  EngineConnections(Loop& loop, Metrics& metrics, const Timeouts& timeouts);
  ~EngineConnections() override;

  // Sets the size limit of a single page; the default is the protocol's own limit. The result store limits
  // the total size of a paged result.
  void set_max_page_bytes(size_t bytes) { max_page_bytes_ = bytes; }
  void set_core(Core& core) { core_ = &core; }  // must be called before the first attempt
  void observe(ConnectionObserver observer) { observer_ = std::move(observer); }

  void start_attempt(TimePoint now, const AttemptRequest& request) override;
  void cancel_attempt(TimePoint now, AttemptId attempt, Outcome outcome) override;
  void set_priority(TimePoint now, AttemptId attempt, int priority) override;
  void update_engine(TimePoint now, uint32_t engine, std::string_view address, EngineState state) override;

  void run_due(TimePoint now);  // handles expired timeouts and reports finished attempts to the core
  std::optional<TimePoint> next_due() const;

 private:
  using Task = EngineConnection::Task;

  struct Attempt {
    AttemptRequest request;
    proto::AttemptExchange exchange;
    EngineConnection* connection = nullptr;  // carries the start or a poll; null: no request is in flight
    bool is_start_written = false;           // at least a part of the start was written
    bool may_have_run = false;               // the whole start was sent
    Outcome cancel_outcome = Outcome::kCancelled;
    std::optional<TimePoint> last_request_at;  // time of the last request that may have reached the engine
    std::optional<TimePoint> unusable_since;   // no usable response has arrived since then
    std::optional<TimePoint> poll_at;          // time of the next scheduled poll
    // No connection could be opened since then: the next connection that becomes idle polls the attempt.
    std::optional<TimePoint> unreachable_since;
    // Set while the attempt is being cancelled: the time at which it ends at the latest.
    std::optional<TimePoint> cancel_expires_at;
  };
  struct EnginePool {
    std::string address;  // empty: the address was reassigned to another engine
    bool is_delisted = false;
    int attempt_count = 0;
    std::map<EngineConnection*, std::unique_ptr<EngineConnection>> connections;
    std::vector<EngineConnection*> idle;  // ordered, the longest idle first
  };
  struct FinishedAttempt {
    AttemptId attempt{};
    Outcome outcome = Outcome::kOk;
    std::string rows;
  };

  // Implements EngineConnection::Owner.
  void handle_connection_established(EngineConnection& connection, TimePoint now) override {
    write_request(connection, now);
  }
  void handle_response(EngineConnection& connection, const proto::HttpResponse& response) override;
  void handle_connection_lost(EngineConnection& connection, CloseReason reason) override;
  void evict(EngineConnection& connection, CloseReason reason) override {
    close_connection(connection, reason);
  }

  // Pools and connections (engine_connections.cpp).
  // Returns an idle or a new connection; null: none is available.
  EngineConnection* acquire_connection(uint32_t engine, TimePoint now);
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
  void remove_if_unused(uint32_t engine);  // removes a delisted engine without attempts and connections
  void check_timeouts(TimePoint now);
  void check_attempt_timeouts(TimePoint now);
  void check_connection_timeouts(TimePoint now);
  void schedule_check(TimePoint time) { next_check_at_ = earlier_of<TimePoint>(next_check_at_, time); }

  // Attempts: writing their requests and handling the responses (engine_attempts.cpp).
  void assign_attempt(EngineConnection& connection, AttemptId id, Attempt& attempt, TimePoint now);
  // Writes the request for the current task of an established connection.
  void write_request(EngineConnection& connection, TimePoint now);
  bool append_attempt_start(std::string& request, const EngineConnection& connection, Attempt& attempt,
                            TimePoint now);
  void poll_attempt(AttemptId id, TimePoint now);  // sends the cancel again if the attempt is being cancelled
  void handle_unreachable_engine(AttemptId id, TimePoint now);
  void poll_on_another_connection(AttemptId id, TimePoint now);
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
  void cancel_at_engine(AttemptId id, TimePoint now);  // sends a cancel whose response is ignored
  std::string make_cancel_request(AttemptId id, const EngineConnection& connection) const;
  void send_control_request(EngineConnection& connection, AttemptId id, std::string request,
                            bool finishes_attempt, TimePoint now);
  void finish_attempt(AttemptId id, Outcome outcome, std::string rows = {});
  // The time by which the engine has ended the query, unless it is polled again.
  static TimePoint unpolled_expiry(const Attempt& attempt);

  // Allowance for network delay, added to timeouts of the protocol.
  static constexpr Duration kNetworkSlack = std::chrono::milliseconds(100);

  Loop& loop_;
  Metrics& metrics_;
  const Timeouts timeouts_;
  size_t max_page_bytes_ = proto::kMaxHttpBodyBytes;
  Core* core_ = nullptr;
  ConnectionObserver observer_;
  std::map<uint32_t, EnginePool> pools_;
  std::map<std::string, uint32_t, std::less<>> engine_by_address_;  // the engine that each address belongs to
  std::map<AttemptId, Attempt> attempts_;
  std::vector<FinishedAttempt> finished_, being_reported_;
  std::optional<TimePoint> next_check_at_;  // no timeout expires before this time
};

}  // namespace firvalve::net
