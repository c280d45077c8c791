// Decision logic of a client: chooses gateways and decides when to connect, send, retry and end calls. No
// I/O, clock or threads: it receives events with the time and returns actions. The same seed and events give
// the same actions.
//
// An open call is in one of three states: backing off until a given time, waiting in its profile's queue, or
// in flight on a connection. Only decide() sends, and only end_call() ends a call. The implementation is in
// four files:
//   request_scheduler.cpp    events, and the steps of decide()
//   scheduler_calls.cpp      states of a call, its retries and its end
//   scheduler_gateways.cpp   connections, their losses, and the health of gateways
//   scheduler_dispatch.cpp   which call is sent next, and to which gateway
//
// Invariants, whatever the gateways do (tests/client/request_scheduler_property_test.cpp):
//   - a call ends exactly once;
//   - a non-replayable call is sent again only if each earlier attempt was refused, or was not completely
//     handed to the kernel before its connection ended;
//   - no attempt is sent at or after the call's deadline, and the timeout sent is the time left;
//   - no call of a profile is sent to a gateway before the Retry-After time of that gateway and profile;
//   - retries stay within the budget, except for one per call whose attempt met a gateway's close of an idle
//     connection.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "client/gateway_health.h"
#include "client/retry_budget.h"
#include "client/scheduler_actions.h"
#include "client/throttle.h"

namespace firvalve::client {

struct SchedulerOptions {
  size_t gateways = 1;
  uint64_t seed = 0;                  // of the random generators
  int max_connections = 4;            // per gateway
  int max_calls_per_connection = 32;  // in flight at once; a protocol limit
  // After this many requests a new connection is opened, because request ids are never reused.
  RequestId max_requests_per_connection = 1000000000;
  size_t max_open_calls = 10000;
  int max_attempts = 3;      // per call
  double retry_share = 0.1;  // retry budget as a share of first attempts
  Duration retry_window{10000};
  Duration backoff{50}, max_backoff{2000};  // full jitter; doubles with each attempt
  Duration max_retry_after{30000};          // limit for a gateway's Retry-After
  Duration connect_timeout{1000};
  // If calls are open and no byte has arrived for this long, a heartbeat is requested; after the same time
  // again without an answer, the gateway is ejected.
  Duration silence_timeout{1000};
  Duration idle_timeout{3500};     // idle connections are closed before the gateway would close them
  Duration throttle_window{3000};  // after an overload, the rate of sent calls doubles in less than this
  bool sends_retry_markers = true;
  OutageOptions outage;
};

// Counters since the start; see Stats in client.h.
struct SchedulerStats {
  uint64_t calls = 0, answered = 0, refused = 0, failed = 0, unknown = 0, expired = 0;
  uint64_t cancelled = 0;                // part of the ended calls
  uint64_t refused_without_attempt = 0;  // part of `refused`
  uint64_t attempts = 0, retries = 0, idle_close_retries = 0, revoked = 0, late_answers = 0;
  uint64_t connects = 0, connects_failed = 0, connections_lost = 0, outages = 0, reconnects = 0;
};

class RequestScheduler {
 public:
  explicit RequestScheduler(const SchedulerOptions& options);

  // Events.
  void start_call(TimePoint now, CallId call, const CallRequest& request);
  void cancel_call(TimePoint now, CallId call);  // no effect if it has ended
  void handle_connected(TimePoint now, ConnectionId connection);
  // `unsent`: attempts that were not completely handed to the kernel.
  void handle_connection_lost(TimePoint now, ConnectionId connection, LossCause cause,
                              const std::set<RequestId>& unsent = {});
  // Returns the call that this answer has ended; empty for a late answer, a refusal or a heartbeat.
  std::optional<CallId> handle_reply(TimePoint now, ConnectionId connection, const Reply& reply);

  // Call after the events of one point in time: appends the actions to execute.
  void decide(TimePoint now, Actions& actions);
  // Latest time of the next decide() if no event comes before; empty: not until an event.
  std::optional<TimePoint> next_due() const;

  const SchedulerStats& stats() const { return stats_; }
  size_t open_calls() const { return calls_.size(); }
  bool has_connection(ConnectionId connection) const { return connections_.count(connection) > 0; }

 private:
  using QueueIndex = size_t;
  enum class State { kNone, kBackingOff, kQueued, kInFlight };
  struct Call {
    QueueIndex queue = 0;
    std::optional<GatewayIndex> required_gateway;
    bool is_replayable = false, may_have_run = false;
    bool had_idle_close_race = false;     // the one exempt retry has been granted
    bool is_next_attempt_exempt = false;  // not counted against the retry budget
    bool has_retry_reserved = false;      // the retry budget has a reservation for its next attempt
    State state = State::kNone;
    TimePoint deadline;
    TimePoint backoff_until;                     // kBackingOff
    std::list<CallId>::iterator queue_position;  // kQueued
    // The latest attempt:
    ConnectionId connection{};
    RequestId request = 0;
    std::optional<GatewayIndex> gateway;
    TimePoint sent_at;
    Duration connection_idle{0};  // how long the connection had been idle before sent_at
    int attempts = 0;
    uint64_t first_attempt_id = 0, attempt_id = 0;
  };
  using Calls = std::unordered_map<CallId, Call>;
  struct Connection {
    GatewayIndex gateway = 0;
    bool is_up = false;
    bool is_probe = false;         // probes an ejected gateway; carries no calls
    bool is_unresponsive = false;  // gets no further calls
    TimePoint opened_at;
    TimePoint active_at;    // last send or receive
    TimePoint received_at;  // last receive
    TimePoint busy_since;   // since when calls have been open without a gap
    RequestId last_request = 0;
    std::optional<RequestId> heartbeat;  // request without an answer so far
    TimePoint heartbeat_at;
    std::map<RequestId, CallId> open_requests;
  };
  struct Gateway {
    explicit Gateway(const OutageOptions& options) : health(options) {}
    GatewayHealth health;
    int open_calls = 0, connections = 0, connecting = 0;
    std::optional<Duration> latency;   // moving average of the answer time
    std::optional<TimePoint> lost_at;  // last connection loss, idle closes excluded
    std::optional<TimePoint> no_connect_before;
    bool reads_retry_markers = false, was_asked_for_markers = false;
    std::map<QueueIndex, TimePoint> retry_after;  // no call of the queue is sent there before this time
  };
  // Calls of one profile that wait to be sent, the next one first. Calls with a required gateway have a queue
  // per gateway.
  struct Queue {
    std::string name;
    std::list<CallId> calls;
    Throttle throttle;
  };
  // Gateways that a call may be sent to.
  struct GatewayChoice {
    GatewayIndex best = 0;
    std::optional<GatewayIndex> alternative;
  };

  double draw_uniform() { return static_cast<double>(random_()) / 4294967296.0; }  // in [0, 1)

  // Calls (scheduler_calls.cpp).
  std::optional<QueueIndex> find_or_add_queue(const std::string& name);
  void enqueue(Call& call, CallId id, bool at_front);
  void back_off_until(Call& call, CallId id, TimePoint until);
  void leave_state(Call& call, CallId id);
  bool schedule_retry(TimePoint now, Calls::iterator call, TimePoint not_before);
  void retry_or_refuse(TimePoint now, Calls::iterator call, TimePoint not_before, const char* reason);
  void end_waiting_call(TimePoint now, Calls::iterator call, const char* reason);
  void expire_or_cancel(Calls::iterator call, bool cancelled, const char* reason);
  void end_call(Calls::iterator call, Outcome outcome, std::string reason, bool cancelled = false,
                std::optional<Duration> retry_after = std::nullopt);
  void revoke_attempt(const Call& call);
  Duration draw_backoff(const Call& call);
  TimePoint earliest_usable_at(TimePoint now, const Call& call) const;
  bool cannot_send_before_deadline(TimePoint now, const Call& call) const;
  void expire_calls(TimePoint now);
  void end_backoffs(TimePoint now);
  void refuse_unsendable_calls(TimePoint now);

  // Connections and gateways (scheduler_gateways.cpp).
  ConnectionId open_connection(TimePoint now, GatewayIndex gateway, bool is_probe);
  void close_connection(ConnectionId connection);
  void ask_for_heartbeat(TimePoint now, ConnectionId id, Connection& connection);
  void handle_heartbeat(TimePoint now, Connection& connection, const Reply& reply);
  void handle_refusal(TimePoint now, Calls::iterator call, Gateway& gateway, const Reply& reply);
  void drop_connection(TimePoint now, ConnectionId id, LossCause cause, const std::set<RequestId>& unsent);
  ConnectionLoss make_connection_loss(TimePoint now, const Connection& connection, LossCause cause) const;
  bool is_idle_close_race(TimePoint now, const Call& call, const Connection& connection,
                          LossCause cause) const;
  void end_lost_attempt(TimePoint now, CallId id, const Connection& connection, LossCause cause,
                        bool was_unsent, bool is_outage);
  void eject(TimePoint now, GatewayIndex gateway, const char* reason);
  enum class Check { kFine, kConnectTimeout, kIdle, kUnresponsive, kNeedsHeartbeat };
  Check check_connection(TimePoint now, const Connection& connection) const;
  void check_connections(TimePoint now);
  void close_idle_connection(ConnectionId id);
  void handle_unresponsive(TimePoint now, ConnectionId id);
  void retry_replayable_calls(TimePoint now, const Connection& connection);
  void probe_ejected_gateways(TimePoint now);
  TimePoint heartbeat_timeout_at(const Connection& connection) const;
  TimePoint heartbeat_due_at(const Connection& connection) const;
  std::optional<TimePoint> next_due_of(const Connection& connection) const;

  // Dispatch (scheduler_dispatch.cpp).
  void dispatch(TimePoint now);
  bool dispatch_next(TimePoint now, QueueIndex queue);
  std::vector<GatewayIndex> usable_gateways(TimePoint now, const Call& call) const;
  std::optional<GatewayChoice> choose_gateway(TimePoint now, const Call& call);
  std::optional<ConnectionId> find_or_open_connection(TimePoint now, const GatewayChoice& choice);
  std::optional<ConnectionId> connection_with_capacity(GatewayIndex gateway) const;
  bool may_connect(TimePoint now, GatewayIndex gateway) const;
  bool back_off_for_retry_after(TimePoint now, CallId id, Call& call);
  double load_score(const Gateway& gateway) const;
  void send_attempt(TimePoint now, CallId id, Call& call, ConnectionId connection);

  SchedulerOptions options_;
  pcg32 random_;
  pcg64 attempt_ids_;
  RetryBudget retry_budget_;
  uint64_t reserved_retries_ = 0;  // granted by the budget, not sent yet
  Calls calls_;
  std::set<std::pair<TimePoint, CallId>> deadlines_, backoffs_;
  std::vector<Queue> queues_;
  QueueIndex next_queue_ = 0;  // served first in the next dispatch()
  std::map<ConnectionId, Connection> connections_;
  std::vector<Gateway> gateways_;
  uint64_t last_connection_ = 0;
  std::optional<TimePoint> last_call_at_;
  TimePoint decided_at_;
  bool must_check_unsendable_ = false;  // a gateway was ejected or sent a Retry-After
  Actions pending_;
  SchedulerStats stats_;
};

}  // namespace firvalve::client
