// Request scheduler: which call is sent next, and to which gateway.
#include <algorithm>
#include <utility>

#include "client/request_scheduler.h"
#include "client/scheduler_limits.h"

namespace firvalve::client {
namespace {

// Range of the random delay after a Retry-After time: this share of the time, but at least the minimum.
constexpr Duration kMinRetryAfterJitter{100};
constexpr double kRetryAfterJitterShare = 0.5;

}  // namespace

// Expected load: (calls in flight + 1) * average latency. A gateway without answers so far gets the lowest
// known latency, at least 1 ms.
double RequestScheduler::load_score(const Gateway& gateway) const {
  constexpr Duration kMinAssumedLatency{1};
  std::optional<Duration> quickest;
  for (const Gateway& other : gateways_) quickest = earlier_of(quickest, other.latency);
  const Duration latency =
      gateway.latency.value_or(std::max(quickest.value_or(Duration(0)), kMinAssumedLatency));
  return (gateway.open_calls + 1) * to_ms(latency);
}

std::optional<ConnectionId> RequestScheduler::connection_with_capacity(GatewayIndex gateway) const {
  const auto max_calls = static_cast<size_t>(options_.max_calls_per_connection);
  std::optional<ConnectionId> best;
  size_t fewest = SIZE_MAX;
  for (const auto& [id, connection] : connections_) {
    if (connection.gateway != gateway || !connection.is_up || connection.is_probe ||
        connection.is_unresponsive || connection.last_request >= options_.max_requests_per_connection)
      continue;
    const size_t open = connection.open_requests.size();
    if (open >= max_calls) continue;
    if (open * 2 < max_calls) return id;
    if (open >= fewest) continue;
    best = id;
    fewest = open;
  }
  return best;
}

// Whether one more connection is allowed, and more calls are queued than the connections being opened can
// carry.
bool RequestScheduler::may_connect(TimePoint now, GatewayIndex index) const {
  const Gateway& gateway = gateways_[index];
  if (!gateway.health.is_available() || gateway.connections >= options_.max_connections) return false;
  if (gateway.no_connect_before && now < *gateway.no_connect_before) return false;
  size_t queued = 0;
  for (const Queue& queue : queues_) queued += queue.calls.size();
  return static_cast<size_t>(gateway.connecting) * static_cast<size_t>(options_.max_calls_per_connection) <
         queued;
}

// Gateways that are available and not within a Retry-After time for the call's queue.
std::vector<GatewayIndex> RequestScheduler::usable_gateways(TimePoint now, const Call& call) const {
  std::vector<GatewayIndex> usable;
  for (GatewayIndex i = 0; i < gateways_.size(); ++i) {
    if (call.required_gateway && i != *call.required_gateway) continue;
    const Gateway& gateway = gateways_[i];
    const auto retry_after = gateway.retry_after.find(call.queue);
    const bool is_retry_delayed = retry_after != gateway.retry_after.end() && now < retry_after->second;
    if (gateway.health.is_available() && !is_retry_delayed) usable.push_back(i);
  }
  return usable;
}

// Power of two choices: the less loaded of two random gateways. If neither has a connection with capacity,
// the alternative is one that has. Empty: no gateway is usable.
std::optional<RequestScheduler::GatewayChoice> RequestScheduler::choose_gateway(TimePoint now,
                                                                                const Call& call) {
  const std::vector<GatewayIndex> usable = usable_gateways(now, call);
  if (usable.empty()) return std::nullopt;
  if (usable.size() == 1) return GatewayChoice{usable[0], std::nullopt};
  const auto size = static_cast<uint32_t>(usable.size());
  const uint32_t first = random_(size);
  uint32_t second = random_(size - 1);
  second += second >= first;
  GatewayIndex best = usable[first], alternative = usable[second];
  if (load_score(gateways_[alternative]) < load_score(gateways_[best])) std::swap(best, alternative);
  if (!connection_with_capacity(best) && !connection_with_capacity(alternative))
    for (const GatewayIndex gateway : usable)
      if (connection_with_capacity(gateway)) alternative = gateway;
  return GatewayChoice{best, alternative};
}

// Returns a connection with capacity to the best gateway, else to the alternative. Opens connections where
// there is none; the call then waits until one is up.
std::optional<ConnectionId> RequestScheduler::find_or_open_connection(TimePoint now,
                                                                      const GatewayChoice& choice) {
  if (const auto connection = connection_with_capacity(choice.best)) return connection;
  if (may_connect(now, choice.best)) open_connection(now, choice.best, false);
  if (!choice.alternative) return std::nullopt;
  if (const auto connection = connection_with_capacity(*choice.alternative)) return connection;
  if (may_connect(now, *choice.alternative)) open_connection(now, *choice.alternative, false);
  return std::nullopt;
}

// For a call without a usable gateway. If available gateways sent a Retry-After, the call backs off until a
// random time after the earliest of them, so that not all calls return at once. False: no gateway is
// available.
bool RequestScheduler::back_off_for_retry_after(TimePoint now, CallId id, Call& call) {
  std::optional<TimePoint> earliest;
  for (GatewayIndex i = 0; i < gateways_.size(); ++i) {
    if (call.required_gateway && i != *call.required_gateway) continue;
    const Gateway& gateway = gateways_[i];
    const auto retry_after = gateway.retry_after.find(call.queue);
    if (gateway.health.is_available() && retry_after != gateway.retry_after.end())
      earliest = earlier_of(earliest, std::optional(retry_after->second));
  }
  if (!earliest) return false;
  const Duration jitter = std::max(kMinRetryAfterJitter, kRetryAfterJitterShare * (*earliest - now));
  const Duration time_left = std::max(Duration(0), call.deadline - kMinTimeToDeadline - *earliest);
  const TimePoint until = *earliest + draw_uniform() * std::min(jitter, time_left);
  leave_state(call, id);
  back_off_until(call, id, until);
  must_check_unsendable_ = true;
  return true;
}

// Sends the first call of a queue, ends it, or lets it back off. False: the queue is empty or its first call
// must wait, which blocks the calls behind it.
bool RequestScheduler::dispatch_next(TimePoint now, QueueIndex index) {
  const Queue& queue = queues_[index];
  if (queue.calls.empty()) return false;
  const CallId id = queue.calls.front();
  const auto at = calls_.find(id);
  Call& call = at->second;
  if (call.deadline - now < kMinTimeToDeadline) {
    expire_or_cancel(at, false, "deadline exceeded");
    return true;
  }
  const auto choice = choose_gateway(now, call);
  if (!choice) return back_off_for_retry_after(now, id, call);
  const auto connection = find_or_open_connection(now, *choice);
  if (!connection) return false;
  if (call.attempts > 0 && !call.is_next_attempt_exempt &&
      !retry_budget_.allows_retry(now, reserved_retries_ - 1)) {
    // The first attempts that allowed this retry have left the budget's window since.
    end_waiting_call(now, at, "retry budget exhausted");
    return true;
  }
  send_attempt(now, id, call, *connection);
  return true;
}

// Round robin over the queues, so that no profile starves the others.
void RequestScheduler::dispatch(TimePoint now) {
  if (queues_.empty()) return;
  for (bool was_any_dispatched = true; was_any_dispatched;) {
    was_any_dispatched = false;
    for (size_t i = 0; i < queues_.size(); ++i)
      was_any_dispatched |= dispatch_next(now, (next_queue_ + i) % queues_.size());
  }
  next_queue_ = (next_queue_ + 1) % queues_.size();
}

}  // namespace firvalve::client
