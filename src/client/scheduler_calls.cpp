// Request scheduler: states of a call, its retries and its end.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "client/request_scheduler.h"
#include "client/scheduler_limits.h"

namespace firvalve::client {
namespace {

constexpr size_t kMaxQueues = 256;

std::string to_hex(uint64_t value) { return fmt::format("{:016x}", value); }

}  // namespace

// ---- States -------------------------------------------------------------------------------------

// Returns the queue of this name, created on first use. Empty: kMaxQueues is reached.
std::optional<RequestScheduler::QueueIndex> RequestScheduler::find_or_add_queue(const std::string& name) {
  const auto at =
      std::find_if(queues_.begin(), queues_.end(), [&](const Queue& queue) { return queue.name == name; });
  if (at != queues_.end()) return static_cast<QueueIndex>(at - queues_.begin());
  if (queues_.size() >= kMaxQueues) return std::nullopt;
  queues_.push_back({name, {}, Throttle(options_.throttle_window)});
  return queues_.size() - 1;
}

void RequestScheduler::back_off_until(Call& call, CallId id, TimePoint until) {
  call.state = State::kBackingOff;
  call.backoff_until = until;
  backoffs_.insert({until, id});
}

void RequestScheduler::enqueue(Call& call, CallId id, bool at_front) {
  auto& calls = queues_[call.queue].calls;
  call.state = State::kQueued;
  call.queue_position = calls.insert(at_front ? calls.begin() : calls.end(), id);
}

void RequestScheduler::leave_state(Call& call, CallId id) {
  switch (call.state) {
    case State::kBackingOff:
      backoffs_.erase({call.backoff_until, id});
      break;
    case State::kQueued:
      queues_[call.queue].calls.erase(call.queue_position);
      break;
    case State::kInFlight:
      gateways_[call.gateway.value()].open_calls -= 1;
      if (const auto at = connections_.find(call.connection); at != connections_.end())
        at->second.open_requests.erase(call.request);
      break;
    case State::kNone:
      break;
  }
  call.state = State::kNone;
}

void RequestScheduler::expire_calls(TimePoint now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    expire_or_cancel(calls_.find(deadlines_.begin()->second), false, "deadline exceeded");
}

void RequestScheduler::end_backoffs(TimePoint now) {
  while (!backoffs_.empty() && backoffs_.begin()->first <= now) {
    const CallId id = backoffs_.begin()->second;
    Call& call = calls_.at(id);
    leave_state(call, id);
    enqueue(call, id, false);
  }
}

// ---- Retries ------------------------------------------------------------------------------------

// Earliest time at which a gateway can take the call: now, after a probe, or after a Retry-After.
TimePoint RequestScheduler::earliest_usable_at(TimePoint now, const Call& call) const {
  std::optional<TimePoint> soonest;
  for (GatewayIndex i = 0; i < gateways_.size(); ++i) {
    if (call.required_gateway && i != *call.required_gateway) continue;
    const Gateway& gateway = gateways_[i];
    TimePoint at = gateway.health.is_ejected() ? std::max(now, gateway.health.probe_at()) : now;
    if (const auto retry_after = gateway.retry_after.find(call.queue);
        retry_after != gateway.retry_after.end())
      at = std::max(at, retry_after->second);
    soonest = earlier_of(soonest, std::optional(at));
  }
  return soonest.value();  // each call has at least one possible gateway
}

// True if all possible gateways stay ejected or within a Retry-After time until too late for the deadline.
bool RequestScheduler::cannot_send_before_deadline(TimePoint now, const Call& call) const {
  const TimePoint usable = earliest_usable_at(now, call);
  return usable > now && usable + kMinTimeToDeadline >= call.deadline;
}

// Queues a call for another attempt, or lets it back off until `not_before`. False: the maximum of attempts,
// the deadline or the retry budget forbids a retry. The caller must know that a second run is safe.
bool RequestScheduler::schedule_retry(TimePoint now, Calls::iterator at, TimePoint not_before) {
  auto& [id, call] = *at;
  if (call.attempts >= options_.max_attempts) return false;
  if (std::max(not_before, earliest_usable_at(now, call)) + kMinTimeToDeadline >= call.deadline) return false;
  if (call.is_next_attempt_exempt) {
    enqueue(call, id, true);
    return true;
  }
  if (!retry_budget_.allows_retry(now, reserved_retries_)) return false;
  call.has_retry_reserved = true;
  ++reserved_retries_;
  if (not_before <= now)
    enqueue(call, id, true);
  else
    back_off_until(call, id, not_before);
  return true;
}

// For an attempt that cannot have run: it was refused, or not completely written.
void RequestScheduler::retry_or_refuse(TimePoint now, Calls::iterator at, TimePoint not_before,
                                       const char* reason) {
  if (!schedule_retry(now, at, not_before)) end_waiting_call(now, at, reason);
}

// Ends a call that is not in flight and gets no further attempt.
void RequestScheduler::end_waiting_call(TimePoint now, Calls::iterator at, const char* reason) {
  if (at->second.may_have_run) return end_call(at, Outcome::kUnknown, reason);
  const TimePoint usable = earliest_usable_at(now, at->second);
  end_call(at, Outcome::kRefused, reason, false, usable > now ? std::optional(usable - now) : std::nullopt);
}

// Exponential backoff with full jitter.
Duration RequestScheduler::draw_backoff(const Call& call) {
  return draw_uniform() * std::min(options_.backoff * std::pow(2.0, call.attempts - 1), options_.max_backoff);
}

// Refuses at once the calls that can no longer be sent before their deadline, instead of letting them expire.
void RequestScheduler::refuse_unsendable_calls(TimePoint now) {
  if (!must_check_unsendable_) return;
  must_check_unsendable_ = false;
  std::vector<CallId> unsendable;
  for (const auto& [id, call] : calls_)
    if (call.state != State::kInFlight && cannot_send_before_deadline(now, call)) unsendable.push_back(id);
  std::sort(unsendable.begin(), unsendable.end());
  for (const CallId id : unsendable)
    end_waiting_call(now, calls_.find(id), "no gateway available before the deadline");
}

// ---- The end ------------------------------------------------------------------------------------

void RequestScheduler::end_call(Calls::iterator at, Outcome outcome, std::string reason, bool cancelled,
                                std::optional<Duration> retry_after) {
  auto& [id, call] = *at;
  leave_state(call, id);
  deadlines_.erase({call.deadline, id});
  if (call.has_retry_reserved) --reserved_retries_;
  switch (outcome) {
    case Outcome::kAnswered:
      ++stats_.answered;
      break;
    case Outcome::kRefused:
      ++stats_.refused;
      break;
    case Outcome::kFailed:
      ++stats_.failed;
      break;
    case Outcome::kUnknown:
      ++stats_.unknown;
      break;
    case Outcome::kExpired:
      ++stats_.expired;
      break;
  }
  stats_.cancelled += cancelled;
  stats_.refused_without_attempt += outcome == Outcome::kRefused && call.attempts == 0;
  pending_.emplace_back(EndCall{id, outcome, cancelled, call.may_have_run, call.attempts, call.gateway,
                                retry_after, std::move(reason)});
  calls_.erase(at);
}

// Ends a call whose deadline has passed or that was cancelled, and revokes an attempt in flight.
void RequestScheduler::expire_or_cancel(Calls::iterator at, bool cancelled, const char* reason) {
  Call& call = at->second;
  if (call.state == State::kInFlight) {
    call.may_have_run = true;
    revoke_attempt(call);
  }
  const Outcome outcome = !call.is_replayable && call.may_have_run ? Outcome::kUnknown : Outcome::kExpired;
  end_call(at, outcome, reason, cancelled);
}

void RequestScheduler::revoke_attempt(const Call& call) {
  pending_.emplace_back(SendRevoke{call.connection, call.request, to_hex(call.attempt_id)});
  ++stats_.revoked;
}

// ---- Sending ------------------------------------------------------------------------------------

void RequestScheduler::send_attempt(TimePoint now, CallId id, Call& call, ConnectionId to) {
  Connection& connection = connections_.at(to);
  Gateway& gateway = gateways_[connection.gateway];
  if (call.attempts == 0) {
    retry_budget_.record_first_attempt(now);
  } else if (call.is_next_attempt_exempt) {
    call.is_next_attempt_exempt = false;
    ++stats_.idle_close_retries;
  } else {
    retry_budget_.record_retry(now);
    call.has_retry_reserved = false;
    --reserved_retries_;
    ++stats_.retries;
  }
  leave_state(call, id);
  const bool was_idle = connection.open_requests.empty();
  call.connection_idle = was_idle ? now - connection.active_at : Duration(0);
  if (was_idle) connection.busy_since = now;
  call.state = State::kInFlight;
  call.connection = to;
  call.gateway = connection.gateway;
  call.request = ++connection.last_request;
  call.sent_at = connection.active_at = now;
  call.attempts += 1;
  call.attempt_id = attempt_ids_();
  if (call.attempts == 1) call.first_attempt_id = call.attempt_id;
  connection.open_requests[call.request] = id;
  gateway.open_calls += 1;
  ++stats_.attempts;
  const bool is_marked = call.attempts > 1 && gateway.reads_retry_markers;
  pending_.emplace_back(SendAttempt{to, connection.gateway, call.request, id, to_hex(call.attempt_id),
                                    is_marked ? to_hex(call.first_attempt_id) : std::string(),
                                    call.deadline - now});
}

}  // namespace firvalve::client
