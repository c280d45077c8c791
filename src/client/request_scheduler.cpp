// Request scheduler: events, and the steps of decide().
#include "client/request_scheduler.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace firvalve::client {

RequestScheduler::RequestScheduler(const SchedulerOptions& options)
    : options_(options),
      random_(options.seed, 1),
      attempt_ids_(options.seed, 2),
      retry_budget_(options.retry_share, options.retry_window),
      gateways_(options.gateways, Gateway(options.outage)) {}

// ---- Events -------------------------------------------------------------------------------------

void RequestScheduler::start_call(TimePoint now, CallId id, const CallRequest& request) {
  ++stats_.calls;
  last_call_at_ = now;
  const auto at = calls_.try_emplace(id).first;
  Call& call = at->second;
  call.is_replayable = request.is_replayable;
  call.deadline = request.deadline;
  call.required_gateway = request.required_gateway;
  deadlines_.insert({call.deadline, id});
  // A separate queue, so that a call that must wait for its gateway does not block calls for others.
  const auto queue = find_or_add_queue(request.required_gateway
                                           ? fmt::format("{}\n{}", request.profile, *request.required_gateway)
                                           : request.profile);
  if (!queue) return end_call(at, Outcome::kRefused, "too many different profiles in use");
  call.queue = *queue;
  if (calls_.size() > options_.max_open_calls) return end_call(at, Outcome::kRefused, "too many open calls");
  Throttle& throttle = queues_[*queue].throttle;
  if (draw_uniform() < throttle.rejection_probability(now)) {
    throttle.record_throttled(now);
    return end_call(at, Outcome::kRefused, "throttled: gateways refuse most calls", false,
                    options_.max_backoff * draw_uniform());
  }
  const TimePoint usable = earliest_usable_at(now, call);
  if (cannot_send_before_deadline(now, call))
    return end_call(at, Outcome::kRefused, "no gateway available before the deadline", false, usable - now);
  enqueue(call, id, false);
}

void RequestScheduler::cancel_call(TimePoint, CallId id) {
  const auto at = calls_.find(id);
  if (at != calls_.end()) expire_or_cancel(at, true, "cancelled");
}

void RequestScheduler::handle_connected(TimePoint now, ConnectionId id) {
  const auto at = connections_.find(id);
  if (at == connections_.end() || at->second.is_up) return;
  Connection& connection = at->second;
  Gateway& gateway = gateways_[connection.gateway];
  connection.is_up = true;
  connection.active_at = connection.received_at = now;
  gateway.connecting -= 1;
  if (connection.is_probe || (options_.sends_retry_markers && !gateway.was_asked_for_markers))
    ask_for_heartbeat(now, id, connection);
}

void RequestScheduler::handle_connection_lost(TimePoint now, ConnectionId id, LossCause cause,
                                              const std::set<RequestId>& unsent) {
  if (has_connection(id)) drop_connection(now, id, cause, unsent);
}

std::optional<CallId> RequestScheduler::handle_reply(TimePoint now, ConnectionId id, const Reply& reply) {
  const auto connection_at = connections_.find(id);
  if (connection_at == connections_.end()) return std::nullopt;
  Connection& connection = connection_at->second;
  Gateway& gateway = gateways_[connection.gateway];
  connection.received_at = connection.active_at = now;
  connection.is_unresponsive = false;
  if (reply.kind == Reply::Kind::kHeartbeat) {
    handle_heartbeat(now, connection, reply);
    return std::nullopt;
  }
  const auto open = connection.open_requests.find(reply.request);
  if (open == connection.open_requests.end()) {
    ++stats_.late_answers;
    // The id was never used: the gateway violates the protocol, so later answers cannot be trusted either.
    if (reply.request < 1 || reply.request > connection.last_request) {
      close_connection(id);
      drop_connection(now, id, LossCause::kUnreadable, {});
    }
    return std::nullopt;
  }
  const CallId ended = open->second;
  const auto at = calls_.find(ended);
  Call& call = at->second;
  if (reply.kind == Reply::Kind::kRefused) {
    handle_refusal(now, at, gateway, reply);
    return std::nullopt;
  }
  queues_[call.queue].throttle.record_accepted(now);
  constexpr double kNewSampleWeight = 0.1;  // of a new answer in the moving average
  constexpr Duration kMinLatency{0.01};
  const Duration took = now - call.sent_at;
  gateway.latency = gateway.latency ? *gateway.latency + kNewSampleWeight * (took - *gateway.latency)
                                    : std::max(took, kMinLatency);
  call.may_have_run = true;
  const bool is_answered = reply.kind == Reply::Kind::kAnswered;
  end_call(at, is_answered ? Outcome::kAnswered : Outcome::kFailed, std::string(reply.text));
  return ended;
}

// ---- Decisions ----------------------------------------------------------------------------------

void RequestScheduler::decide(TimePoint now, Actions& actions) {
  decided_at_ = now;
  if (retry_budget_.needs_rounding(now)) retry_budget_.set_rounding(now, draw_uniform());
  expire_calls(now);
  check_connections(now);
  end_backoffs(now);
  probe_ejected_gateways(now);
  refuse_unsendable_calls(now);
  dispatch(now);
  refuse_unsendable_calls(now);
  std::move(pending_.begin(), pending_.end(), std::back_inserter(actions));
  pending_.clear();
}

std::optional<TimePoint> RequestScheduler::next_due() const {
  if (!pending_.empty()) return TimePoint(Duration(1));  // immediately
  std::optional<TimePoint> due;
  const auto add = [&due](std::optional<TimePoint> time) { due = earlier_of(due, time); };
  if (!deadlines_.empty()) add(deadlines_.begin()->first);
  if (!backoffs_.empty()) add(backoffs_.begin()->first);
  for (const auto& [id, connection] : connections_) add(next_due_of(connection));
  const bool is_any_queued =
      std::any_of(queues_.begin(), queues_.end(), [](const Queue& queue) { return !queue.calls.empty(); });
  for (const Gateway& gateway : gateways_) {
    if (gateway.health.is_ejected() && !calls_.empty()) add(gateway.health.probe_at());
    if (is_any_queued && gateway.no_connect_before && *gateway.no_connect_before > decided_at_ &&
        gateway.connections < options_.max_connections)
      add(gateway.no_connect_before);
  }
  return due;
}

}  // namespace firvalve::client
