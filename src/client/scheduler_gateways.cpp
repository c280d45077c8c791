// Request scheduler: connections, their losses, and the health of gateways.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "client/request_scheduler.h"
#include "client/scheduler_limits.h"

namespace firvalve::client {
namespace {

// By the protocol, a call sent at most this long before a close was received may be sent again, once.
constexpr Duration kMaxIdleCloseRaceTime{50};
// Below this idle time, the gateway cannot have closed the connection for being idle.
constexpr Duration kMinIdleForCloseRace{1000};
// Without open calls, ejected gateways are probed for this long after the last call.
constexpr Duration kProbeTimeAfterLastCall{5000};

}  // namespace

// ---- Connections --------------------------------------------------------------------------------

ConnectionId RequestScheduler::open_connection(TimePoint now, GatewayIndex index, bool is_probe) {
  Gateway& gateway = gateways_[index];
  const ConnectionId id{++last_connection_};
  Connection& connection = connections_[id];
  connection.gateway = index;
  connection.is_probe = is_probe;
  connection.opened_at = connection.active_at = connection.received_at = now;
  gateway.connections += 1;
  gateway.connecting += 1;
  ++stats_.connects;
  stats_.reconnects += gateway.lost_at.has_value();
  pending_.emplace_back(Connect{id, index});
  return id;
}

void RequestScheduler::close_connection(ConnectionId id) { pending_.emplace_back(CloseConnection{id}); }

void RequestScheduler::ask_for_heartbeat(TimePoint now, ConnectionId id, Connection& connection) {
  connection.heartbeat = ++connection.last_request;
  connection.heartbeat_at = connection.active_at = now;
  gateways_[connection.gateway].was_asked_for_markers = true;
  pending_.emplace_back(SendHeartbeat{id, *connection.heartbeat});
}

void RequestScheduler::handle_heartbeat(TimePoint now, Connection& connection, const Reply& reply) {
  if (connection.heartbeat != reply.request) return;
  Gateway& gateway = gateways_[connection.gateway];
  connection.heartbeat.reset();
  gateway.reads_retry_markers = reply.reads_retry_markers;
  gateway.was_asked_for_markers = true;
  if (!reply.is_healthy) {
    connection.is_probe = false;  // closed later as an idle connection
    eject(now, connection.gateway, "its heartbeat reports that it is not healthy");
  } else if (connection.is_probe) {
    connection.is_probe = false;
    gateway.health.reinstate(now);
    pending_.emplace_back(LogGatewayChange{connection.gateway, "reinstated"});
  }
}

void RequestScheduler::handle_refusal(TimePoint now, Calls::iterator at, Gateway& gateway,
                                      const Reply& reply) {
  auto& [id, call] = *at;
  queues_[call.queue].throttle.record_refused(now);
  leave_state(call, id);
  if (reply.retry_after) {
    const TimePoint until = now + std::min(*reply.retry_after, options_.max_retry_after);
    const auto [retry_after, is_new] = gateway.retry_after.try_emplace(call.queue, until);
    if (!is_new) retry_after->second = std::max(retry_after->second, until);
    must_check_unsendable_ = true;
  }
  retry_or_refuse(now, at, now + draw_backoff(call), "refused by the gateway");
}

// ---- Losses -------------------------------------------------------------------------------------

ConnectionLoss RequestScheduler::make_connection_loss(TimePoint now, const Connection& connection,
                                                      LossCause cause) const {
  const auto has_recent_loss = [&](const Gateway& gateway) {
    return gateway.lost_at && now - *gateway.lost_at <= options_.outage.correlation_window;
  };
  const Gateway& gateway = gateways_[connection.gateway];
  ConnectionLoss loss;
  loss.cause = cause;
  loss.open_calls = static_cast<int>(connection.open_requests.size());
  for (const auto& [id, other] : connections_)
    loss.other_connections += other.gateway == connection.gateway && other.is_up;
  loss.has_other_loss_at_gateway = has_recent_loss(gateway);
  for (const Gateway& other : gateways_)
    loss.has_loss_at_other_gateway |= &other != &gateway && has_recent_loss(other);
  loss.idle = now - connection.active_at;
  return loss;
}

void RequestScheduler::drop_connection(TimePoint now, ConnectionId id, LossCause cause,
                                       const std::set<RequestId>& unsent) {
  const auto at = connections_.find(id);
  const Connection connection = std::move(at->second);
  connections_.erase(at);
  Gateway& gateway = gateways_[connection.gateway];
  gateway.connections -= 1;
  gateway.connecting -= !connection.is_up;
  const ConnectionLoss loss = make_connection_loss(now, connection, cause);
  const bool is_idle_close = cause == LossCause::kClosed && connection.open_requests.empty() &&
                             loss.idle >= options_.outage.min_idle_before_close;
  if (!is_idle_close) gateway.lost_at = now;
  connection.is_up ? ++stats_.connections_lost : ++stats_.connects_failed;
  // The next connection may reach a different gateway process.
  if (loss.other_connections == 0) gateway.was_asked_for_markers = gateway.reads_retry_markers = false;
  if (!connection.is_up && loss.other_connections > 0)
    gateway.no_connect_before = now + draw_uniform() * options_.outage.spread;
  const bool is_outage = connection.is_probe || client::is_outage(loss, options_.outage);
  const bool is_failed_probe =
      connection.is_probe && gateway.health.state() == GatewayHealth::State::kProbing;
  if (is_failed_probe || (is_outage && gateway.health.is_available()))
    eject(now, connection.gateway, describe(cause));
  for (const auto& [request, call] : connection.open_requests) {
    gateway.open_calls -= 1;
    end_lost_attempt(now, call, connection, cause, unsent.count(request) > 0, is_outage);
  }
}

// Whether the gateway probably closed the idle connection while the call was on its way, without reading it.
// A gateway that read the call and crashed looks the same, so non-replayable calls are not retried.
bool RequestScheduler::is_idle_close_race(TimePoint now, const Call& call, const Connection& connection,
                                          LossCause cause) const {
  return (cause == LossCause::kClosed || cause == LossCause::kReset) &&
         connection.open_requests.size() == 1 && now - call.sent_at <= kMaxIdleCloseRaceTime &&
         call.connection_idle >= kMinIdleForCloseRace && connection.received_at < call.sent_at &&
         !call.had_idle_close_race;
}

// Retries or ends a call whose connection was lost during an attempt.
void RequestScheduler::end_lost_attempt(TimePoint now, CallId id, const Connection& connection,
                                        LossCause cause, bool was_unsent, bool is_outage) {
  const auto at = calls_.find(id);
  Call& call = at->second;
  call.state = State::kNone;
  const TimePoint not_before = is_outage ? now + draw_backoff(call) : now;
  if (was_unsent)
    return retry_or_refuse(now, at, not_before, "connection lost before the call was completely sent");
  call.may_have_run = true;
  if (call.is_replayable && is_idle_close_race(now, call, connection, cause))
    call.had_idle_close_race = call.is_next_attempt_exempt = true;
  if (call.is_replayable && schedule_retry(now, at, not_before)) return;
  call.is_next_attempt_exempt = false;
  end_call(at, Outcome::kUnknown, fmt::format("connection {}", describe(cause)));
}

// ---- Health -------------------------------------------------------------------------------------

void RequestScheduler::eject(TimePoint now, GatewayIndex index, const char* reason) {
  Gateway& gateway = gateways_[index];
  // Further losses belong to the same outage; only a failed probe extends it.
  if (gateway.health.is_ejected()) return;
  gateway.health.eject(now, draw_uniform());
  gateway.reads_retry_markers = gateway.was_asked_for_markers = false;
  ++stats_.outages;
  must_check_unsendable_ = true;
  pending_.emplace_back(LogGatewayChange{index, fmt::format("ejected: {}; probed in {:.0f} ms", reason,
                                                            to_ms(gateway.health.probe_at() - now))});
}

void RequestScheduler::probe_ejected_gateways(TimePoint now) {
  const bool is_wanted = !calls_.empty() || (last_call_at_ && now - *last_call_at_ < kProbeTimeAfterLastCall);
  if (!is_wanted) return;
  for (GatewayIndex i = 0; i < gateways_.size(); ++i) {
    GatewayHealth& health = gateways_[i].health;
    if (!health.is_ejected() || now < health.probe_at()) continue;
    health.start_probe();
    open_connection(now, i, true);
  }
}

// ---- Watching connections -----------------------------------------------------------------------

// Time at which the gateway counts as unresponsive if the heartbeat has not been answered.
TimePoint RequestScheduler::heartbeat_timeout_at(const Connection& connection) const {
  const TimePoint since = connection.is_probe ? connection.heartbeat_at
                                              : std::max(connection.heartbeat_at, connection.received_at);
  return since + options_.silence_timeout;
}

// Time at which a heartbeat is requested if nothing is received until then.
TimePoint RequestScheduler::heartbeat_due_at(const Connection& connection) const {
  return std::max(connection.received_at, connection.busy_since) + options_.silence_timeout;
}

RequestScheduler::Check RequestScheduler::check_connection(TimePoint now,
                                                           const Connection& connection) const {
  if (!connection.is_up)
    return now >= connection.opened_at + options_.connect_timeout ? Check::kConnectTimeout : Check::kFine;
  if (connection.open_requests.empty() && !connection.is_probe) {
    const bool is_used_up = connection.last_request >= options_.max_requests_per_connection;
    const bool is_idle = now >= connection.active_at + options_.idle_timeout && !connection.heartbeat;
    if (connection.is_unresponsive || is_used_up || is_idle) return Check::kIdle;
  }
  if (connection.is_unresponsive) return Check::kFine;  // already handled
  if (connection.heartbeat)
    return now >= heartbeat_timeout_at(connection) ? Check::kUnresponsive : Check::kFine;
  if (!connection.open_requests.empty() && now >= heartbeat_due_at(connection)) return Check::kNeedsHeartbeat;
  return Check::kFine;
}

std::optional<TimePoint> RequestScheduler::next_due_of(const Connection& connection) const {
  if (!connection.is_up) return connection.opened_at + options_.connect_timeout;
  if (connection.heartbeat) {
    if (connection.is_unresponsive) return std::nullopt;
    return heartbeat_timeout_at(connection);
  }
  if (connection.open_requests.empty()) return connection.active_at + options_.idle_timeout;
  if (connection.is_unresponsive) return std::nullopt;
  return heartbeat_due_at(connection);
}

// Closes connections that time out, are idle or unresponsive, and requests heartbeats on silent ones.
void RequestScheduler::check_connections(TimePoint now) {
  std::vector<ConnectionId> timed_out, idle, unresponsive;
  for (auto& [id, connection] : connections_) {
    switch (check_connection(now, connection)) {
      case Check::kFine:
        break;
      case Check::kConnectTimeout:
        timed_out.push_back(id);
        break;
      case Check::kIdle:
        idle.push_back(id);
        break;
      case Check::kUnresponsive:
        unresponsive.push_back(id);
        break;
      case Check::kNeedsHeartbeat:
        ask_for_heartbeat(now, id, connection);
        break;
    }
  }
  for (const ConnectionId id : timed_out) {
    close_connection(id);
    drop_connection(now, id, LossCause::kConnectTimeout, {});
  }
  for (const ConnectionId id : idle) close_idle_connection(id);
  for (const ConnectionId id : unresponsive) handle_unresponsive(now, id);
}

void RequestScheduler::close_idle_connection(ConnectionId id) {
  close_connection(id);
  const auto at = connections_.find(id);
  gateways_[at->second.gateway].connections -= 1;
  connections_.erase(at);
}

void RequestScheduler::handle_unresponsive(TimePoint now, ConnectionId id) {
  Connection& connection = connections_.at(id);
  if (connection.is_probe || connection.open_requests.empty()) {
    close_connection(id);
    connection.is_probe = true;  // so that the loss counts as a failed probe
    GatewayHealth& health = gateways_[connection.gateway].health;
    if (health.is_available()) health.start_probe();
    return drop_connection(now, id, LossCause::kUnresponsive, {});
  }
  connection.is_unresponsive = true;
  eject(now, connection.gateway, describe(LossCause::kUnresponsive));
  retry_replayable_calls(now, connection);
}

// Retries replayable calls at another gateway if one is usable. The other calls keep waiting for their
// answers.
void RequestScheduler::retry_replayable_calls(TimePoint now, const Connection& connection) {
  std::vector<CallId> retriable;
  for (const auto& [request, id] : connection.open_requests) {
    const Call& call = calls_.at(id);
    if (call.is_replayable && earliest_usable_at(now, call) + kMinTimeToDeadline < call.deadline &&
        call.attempts < options_.max_attempts &&
        retry_budget_.allows_retry(now, reserved_retries_ + retriable.size()))
      retriable.push_back(id);
  }
  for (const CallId id : retriable) {
    const auto at = calls_.find(id);
    Call& call = at->second;
    revoke_attempt(call);
    call.may_have_run = true;
    leave_state(call, id);
    if (!schedule_retry(now, at, now)) end_call(at, Outcome::kUnknown, "gateway unresponsive");
  }
}

}  // namespace firvalve::client
