// The attempts of EngineConnections: writing their requests and handling the responses.
#include <algorithm>

#include "net/engine_connections.h"

namespace firvalve::net {

using namespace std::chrono_literals;

namespace {

constexpr int64_t kMaxStoredPages = 1000000;   // per result in the result store
constexpr Duration kBackpressureDelay = 20ms;  // before the next page if the result store falls behind

}  // namespace

void EngineConnections::start_attempt(TimePoint now, const AttemptRequest& request) {
  Attempt& attempt = attempts_[request.attempt];
  attempt.exchange =
      request.paged ? proto::AttemptExchange(SIZE_MAX, kMaxStoredPages) : proto::AttemptExchange();
  attempt.request = request;
  pools_[request.engine].attempt_count += 1;
  EngineConnection* const connection = acquire_connection(request.engine, now);
  if (connection) return assign_attempt(*connection, request.attempt, attempt, now);
  // With a known address only a descriptor was missing: the attempt has not begun, and the engine is not at
  // fault.
  const bool has_address = !pools_.at(request.engine).address.empty();
  finish_attempt(request.attempt, has_address ? Outcome::kCancelledBeforeStart : Outcome::kConnectFailed);
}

void EngineConnections::assign_attempt(EngineConnection& connection, AttemptId id, Attempt& attempt,
                                       TimePoint now) {
  attempt.connection = &connection;
  connection.task = Task::kAttempt;
  connection.attempt = id;
  restart_timeout(connection, now);
  if (connection.is_connected()) write_request(connection, now);
}

void EngineConnections::write_request(EngineConnection& connection, TimePoint now) {
  if (connection.task == Task::kControlRequest) {
    restart_timeout(connection, now);
    return connection.write(connection.control_request);
  }
  const auto at = attempts_.find(connection.attempt);
  if (connection.task != Task::kAttempt || at == attempts_.end()) return make_idle(connection, now);
  Attempt& attempt = at->second;
  std::string request;
  connection.carries_start = !attempt.may_have_run;
  if (attempt.may_have_run)
    attempt.exchange.append_poll(request, attempt.request.command, connection.address);
  else if (!append_attempt_start(request, connection, attempt, now))
    return make_idle(connection, now);
  attempt.last_request_at = now;
  restart_timeout(connection, now);
  connection.write(request);
  attempt.may_have_run |= connection.unsent_bytes() == 0;
}

// Returns false if the attempt was ended instead. Checks again whether the attempt may start: while its
// connection was being established, the engine may have begun to drain, the client may have disconnected, or
// the deduplication window may have ended.
bool EngineConnections::append_attempt_start(std::string& request, const EngineConnection& connection,
                                             Attempt& attempt, TimePoint now) {
  if (!core_->may_start_attempt(now, connection.attempt)) {
    attempt.connection = nullptr;
    finish_attempt(connection.attempt, Outcome::kCancelledBeforeStart);
    return false;
  }
  const AttemptRequest& start = attempt.request;
  proto::append_start(request, {start.command, start.profile, start.statement, connection.address,
                                start.deadline - now, start.priority});
  attempt.is_start_written = true;
  return true;
}

void EngineConnections::poll_attempt(AttemptId id, TimePoint now) {
  Attempt& attempt = attempts_.at(id);
  attempt.poll_at.reset();
  EngineConnection* const connection = acquire_connection(attempt.request.engine, now);
  if (!connection) return handle_unreachable_engine(id, now);
  if (attempt.cancel_expires_at)
    send_control_request(*connection, id, make_cancel_request(id, *connection), true, now);
  else
    assign_attempt(*connection, id, attempt, now);
}

TimePoint EngineConnections::unpolled_expiry(const Attempt& attempt) {
  return attempt.last_request_at.value_or(TimePoint{}) + proto::kPollResponseTime + proto::kUnpolledLifetime +
         kNetworkSlack;
}

// Guards against treating an engine that refuses connections as dead: one that drains, or whose connection
// table is full, refuses them while its queries keep running, and a retry would run concurrently with the
// first attempt. A refused connection therefore ends no attempt. The attempt is polled over the first
// connection to its engine that becomes idle, or over a new one at growing intervals, until an unpolled query
// must have ended. If the engine did die, its commands are retried elsewhere only after that time.
void EngineConnections::handle_unreachable_engine(AttemptId id, TimePoint now) {
  Attempt& attempt = attempts_.at(id);
  const TimePoint expires_at =
      attempt.cancel_expires_at ? *attempt.cancel_expires_at : unpolled_expiry(attempt);
  if (now >= expires_at)
    return finish_attempt(id, attempt.cancel_expires_at ? attempt.cancel_outcome : Outcome::kReset);
  if (!attempt.unreachable_since) attempt.unreachable_since = now;
  schedule_poll(attempt, now,
                std::min<Duration>(expires_at - now, std::max<Duration>(proto::kPollResponseTime,
                                                                        now - *attempt.unreachable_since)));
}

void EngineConnections::schedule_poll(Attempt& attempt, TimePoint now, Duration delay) {
  attempt.poll_at = now + delay;
  schedule_check(*attempt.poll_at);
}

// Guards against responses that are damaged, late or lost while the query keeps running: a query is not bound
// to a connection, so its status and pages can be fetched over another one. The first such poll is sent at
// once, later ones at the interval of status polls. An unresponsive engine costs one connection per poll
// until the policy or the client cancels the attempt. If all responses stay unusable for kUnpolledLifetime,
// the attempt is cancelled (handle_unusable_response()).
void EngineConnections::poll_on_another_connection(AttemptId id, TimePoint now) {
  Attempt& attempt = attempts_.at(id);
  attempt.connection = nullptr;
  metrics_.add("attempts polled on another connection");
  if (!attempt.unusable_since) {
    attempt.unusable_since = now;
    return poll_attempt(id, now);
  }
  schedule_poll(attempt, now, proto::kPollResponseTime);
}

void EngineConnections::handle_response(EngineConnection& connection, const proto::HttpResponse& response) {
  const TimePoint now = loop_.now();
  const AttemptId id = connection.attempt;
  if (connection.task == Task::kAttempt) return handle_attempt_response(connection, response, id, now);
  if (connection.task == Task::kControlRequest && connection.finishes_attempt)
    return handle_cancel_response(connection, response, id, now);
  make_idle_or_close(connection, response, now);
}

void EngineConnections::handle_cancel_response(EngineConnection& connection,
                                               const proto::HttpResponse& response, AttemptId id,
                                               TimePoint now) {
  if (response.status == 0) return handle_connection_lost(connection, CloseReason::kProtocolError);
  if (const auto at = attempts_.find(id); at != attempts_.end())
    finish_attempt(id, at->second.cancel_outcome);
  make_idle_or_close(connection, response, now);
}

void EngineConnections::handle_attempt_response(EngineConnection& connection,
                                                const proto::HttpResponse& response, AttemptId id,
                                                TimePoint now) {
  using Next = proto::AttemptExchange::Next;
  Attempt& attempt = attempts_.at(id);
  attempt.may_have_run = true;
  attempt.unreachable_since.reset();
  const proto::AttemptExchange::Step step = attempt.exchange.handle(response, connection.carries_start);
  if (step.status) core_->attempt_status_received(now, id, step.status->kind, step.status->value);
  const ResultStore::AppendResult stored = store_rows(id, attempt, now);
  if (stored == ResultStore::AppendResult::kOutOfSpace) {
    // Ends the attempt here: the core has answered its clients already, and a later cancel by the policy
    // finds no attempt.
    attempt.connection = nullptr;
    cancel_at_engine(id, now);
    finish_attempt(id, Outcome::kCancelled);
    return make_idle_or_close(connection, response, now);
  }
  if (step.next == Next::kUnusable) return handle_unusable_response(connection, id, attempt, now);
  if (step.next == Next::kFinished) {
    finish_from_response(id, attempt, step.outcome, now);
    return make_idle_or_close(connection, response, now);
  }
  attempt.unusable_since.reset();
  const bool must_slow_down = stored == ResultStore::AppendResult::kStoredSlowDown;
  if (!must_slow_down && response.is_reusable) return write_request(connection, now);
  attempt.connection = nullptr;
  if (must_slow_down)
    schedule_poll(attempt, now, kBackpressureDelay);
  else
    poll_attempt(id, now);
  make_idle_or_close(connection, response, now);
}

// Passes the rows of a paged result to the result store as they arrive.
ResultStore::AppendResult EngineConnections::store_rows(AttemptId id, Attempt& attempt, TimePoint now) {
  if (!attempt.request.paged || !attempt.exchange.has_rows()) return ResultStore::AppendResult::kStored;
  return core_->append_page(now, id, attempt.exchange.take_rows());
}

void EngineConnections::finish_from_response(AttemptId id, Attempt& attempt, Outcome outcome, TimePoint now) {
  attempt.connection = nullptr;
  // A complete paged result is released at the engine; a plain result needs no release.
  if (outcome == Outcome::kOk && attempt.request.paged) cancel_at_engine(id, now);
  // If an earlier request may have been lost, an engine that does not know the query is not at fault.
  const bool is_blameless = outcome == Outcome::kFailed && attempt.unusable_since;
  finish_attempt(id, is_blameless ? Outcome::kIndeterminate : outcome, attempt.exchange.take_rows());
}

void EngineConnections::handle_unusable_response(EngineConnection& connection, AttemptId id, Attempt& attempt,
                                                 TimePoint now) {
  attempt.connection = nullptr;
  metrics_.add("engine responses unusable");
  close_connection(connection, CloseReason::kProtocolError);
  if (attempt.unusable_since && now - *attempt.unusable_since > proto::kUnpolledLifetime)
    return cancel_and_await(id, Outcome::kIndeterminate, now);
  poll_on_another_connection(id, now);
}

// Handles the end of a connection or a response timeout. If the connection was never established or did not
// accept the whole start, the query has not begun. Otherwise the query may keep running, whatever happens to
// the connections that poll it.
void EngineConnections::handle_connection_lost(EngineConnection& connection, CloseReason reason) {
  const TimePoint now = loop_.now();
  const AttemptId id = connection.attempt;
  const Task task = connection.task;
  const bool finishes_attempt = connection.finishes_attempt;
  const bool is_call_unsent = !connection.is_connected() || connection.unsent_bytes() > 0;
  close_connection(connection, reason);
  const auto at = attempts_.find(id);
  if (at == attempts_.end()) return;
  Attempt& attempt = at->second;
  const bool was_refused = reason == CloseReason::kRefused;
  if (task == Task::kControlRequest && finishes_attempt)
    return was_refused ? handle_unreachable_engine(id, now) : poll_attempt(id, now);
  if (task != Task::kAttempt) return;
  attempt.connection = nullptr;
  if (!attempt.may_have_run && is_call_unsent) return finish_attempt(id, Outcome::kConnectFailed);
  attempt.may_have_run = true;
  was_refused ? handle_unreachable_engine(id, now) : poll_on_another_connection(id, now);
}

void EngineConnections::cancel_attempt(TimePoint now, AttemptId id, Outcome outcome) {
  const auto at = attempts_.find(id);
  if (at == attempts_.end()) return;
  Attempt& attempt = at->second;
  if (attempt.cancel_expires_at && outcome == Outcome::kCancelled) return;
  const bool is_start_written = attempt.is_start_written;
  if (attempt.connection) detach_connection(attempt, outcome, now);
  if (!is_start_written)
    return finish_attempt(id, outcome == Outcome::kCancelled ? Outcome::kCancelledBeforeStart : outcome);
  if (outcome == Outcome::kCancelled) return cancel_and_await(id, outcome, now);
  // Guards engines against queries whose clients have timed out: they keep running and occupy slots, and
  // those of many gateways can fill every engine. The cancel is sent once and its response is ignored: if it
  // is lost, the engine ends the query because it is no longer polled.
  if (attempt.request.may_cancel) cancel_at_engine(id, now);
  finish_attempt(id, outcome);
}

// The connection cannot be reused before the response to its last request has arrived.
void EngineConnections::detach_connection(Attempt& attempt, Outcome outcome, TimePoint now) {
  EngineConnection& connection = *attempt.connection;
  attempt.connection = nullptr;
  connection.task = Task::kDiscardResponse;
  restart_timeout(connection, now);
  if (!attempt.may_have_run || !connection.is_connected() || outcome != Outcome::kCancelled)
    close_connection(connection, CloseReason::kAttemptEnded);
}

// Cancels the attempt at its engine. The query may keep running until the engine responds to the cancel, or
// until it must have ended unpolled; only then does the attempt finish.
void EngineConnections::cancel_and_await(AttemptId id, Outcome outcome, TimePoint now) {
  Attempt& attempt = attempts_.at(id);
  attempt.cancel_outcome = outcome;
  attempt.poll_at.reset();
  attempt.cancel_expires_at = unpolled_expiry(attempt);
  schedule_check(*attempt.cancel_expires_at);
  poll_attempt(id, now);
}

void EngineConnections::set_priority(TimePoint now, AttemptId id, int priority) {
  const auto at = attempts_.find(id);
  if (at == attempts_.end()) return;
  AttemptRequest& request = at->second.request;
  request.priority = priority;
  if (!at->second.is_start_written) return;  // the start will carry the new priority
  std::string update;
  proto::append_priority_update(update, request.command, pools_.at(request.engine).address, priority);
  if (EngineConnection* const connection = acquire_connection(request.engine, now))
    send_control_request(*connection, id, std::move(update), false, now);
}

void EngineConnections::cancel_at_engine(AttemptId id, TimePoint now) {
  if (EngineConnection* const connection = acquire_connection(attempts_.at(id).request.engine, now))
    send_control_request(*connection, id, make_cancel_request(id, *connection), false, now);
}

std::string EngineConnections::make_cancel_request(AttemptId id, const EngineConnection& connection) const {
  std::string request;
  proto::append_cancel(request, attempts_.at(id).request.command, connection.address);
  return request;
}

void EngineConnections::send_control_request(EngineConnection& connection, AttemptId id, std::string request,
                                             bool finishes_attempt, TimePoint now) {
  connection.task = Task::kControlRequest;
  connection.attempt = id;
  connection.control_request = std::move(request);
  connection.finishes_attempt = finishes_attempt;
  restart_timeout(connection, now);
  if (connection.is_connected()) write_request(connection, now);
}

void EngineConnections::finish_attempt(AttemptId id, Outcome outcome, std::string rows) {
  const auto at = attempts_.find(id);
  if (at == attempts_.end()) return;
  const uint32_t engine = at->second.request.engine;
  if (EngineConnection* const connection = at->second.connection)
    close_connection(*connection, CloseReason::kAttemptEnded);
  attempts_.erase(at);
  EnginePool& pool = pools_.at(engine);
  pool.attempt_count -= 1;
  if (pool.attempt_count == 0 && (pool.is_delisted || pool.address.empty())) close_idle_connections(engine);
  remove_if_unused(engine);
  finished_.push_back({id, outcome, std::move(rows)});
}

}  // namespace firvalve::net
