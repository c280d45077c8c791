// The attempts of EngineConnections: their calls, and what the responses mean.
#include <algorithm>

#include "net/engine_connections.h"

namespace firvalve::net {

using namespace std::chrono_literals;

namespace {

constexpr int64_t kMaxStoredPages = 1000000;   // of a result that goes to the result store
constexpr Duration kBackpressureDelay = 20ms;  // between pages that come faster than the disk takes them

}  // namespace

void EngineConnections::start_attempt(TimePoint now, const AttemptRequest& request) {
  Attempt& attempt = attempts_[request.attempt];
  attempt.exchange =
      request.paged ? proto::AttemptExchange(SIZE_MAX, kMaxStoredPages) : proto::AttemptExchange();
  attempt.request = request;
  pools_[request.engine].attempt_count += 1;
  EngineConnection* const connection = acquire_connection(request.engine, now);
  if (connection) return assign_attempt(*connection, request.attempt, attempt, now);
  // For want of a descriptor nothing has begun, and the engine is not to blame.
  const bool has_address = !pools_.at(request.engine).address.empty();
  finish_attempt(request.attempt, has_address ? Outcome::kCancelledBeforeStart : Outcome::kConnectFailed);
}

void EngineConnections::assign_attempt(EngineConnection& connection, AttemptId id, Attempt& attempt,
                                       TimePoint now) {
  attempt.connection = &connection;
  connection.task = Task::kAttempt;
  connection.attempt = id;
  restart_timeout(connection, now);
  if (connection.is_connected()) write_call(connection, now);
}

void EngineConnections::write_call(EngineConnection& connection, TimePoint now) {
  if (connection.task == Task::kSideCall) {
    restart_timeout(connection, now);
    return connection.write(connection.side_call);
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
  attempt.last_call_at = now;
  restart_timeout(connection, now);
  connection.write(request);
  attempt.may_have_run |= connection.unsent_bytes() == 0;
}

// False: the attempt ended instead. Guards against a start that was decided on while its connection was still
// to be established: meanwhile the engine may have begun to drain, the client have gone, the window for
// repeats have run out.
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
  if (!connection) return poll_unreachable(id, now);
  if (attempt.cancel_expires_at)
    make_side_call(*connection, id, cancel_call(id, *connection), true, now);
  else
    assign_attempt(*connection, id, attempt, now);
}

TimePoint EngineConnections::unpolled_expiry(const Attempt& attempt) {
  return attempt.last_call_at.value_or(TimePoint{}) + proto::kPollResponseTime + proto::kUnpolledLifetime +
         kNetworkSlack;
}

// Guards against taking an engine that refuses connections for a dead one: one that drains, or whose table is
// full, does so while all that it has begun runs on, and a second attempt would run beside the first. Whether
// it has died cannot be known, so nothing ends by a refusal: it is polled over the first connection to it
// that is idle again, or over a new one at growing intervals, until a query that is not polled has ended by
// itself. Where the engine did die, that costs its commands this time before they go elsewhere.
void EngineConnections::poll_unreachable(AttemptId id, TimePoint now) {
  Attempt& attempt = attempts_.at(id);
  const TimePoint expires_at =
      attempt.cancel_expires_at ? *attempt.cancel_expires_at : unpolled_expiry(attempt);
  if (now >= expires_at)
    return finish_attempt(id, attempt.cancel_expires_at ? attempt.cancelled_as : Outcome::kReset);
  if (!attempt.unreachable_since) attempt.unreachable_since = now;
  schedule_poll(attempt, now,
                std::min<Duration>(expires_at - now, std::max<Duration>(proto::kPollResponseTime,
                                                                        now - *attempt.unreachable_since)));
}

void EngineConnections::schedule_poll(Attempt& attempt, TimePoint now, Duration delay) {
  attempt.poll_at = now + delay;
  check_at(*attempt.poll_at);
}

// Guards against responses that come damaged, late or never while the query runs on: it belongs to no
// connection, and its status and pages can be had on another. The first time at once, then as often as a
// status is due. Where an engine has become unresponsive that costs a connection each time, until the policy
// or the client cancels the attempt; where all its responses stay unusable for as long as a query lives
// unpolled, it is cancelled here.
void EngineConnections::poll_elsewhere(AttemptId id, TimePoint now) {
  Attempt& attempt = attempts_.at(id);
  attempt.connection = nullptr;
  metrics_.add("attempts polled on another connection");
  if (!attempt.unreadable_since) {
    attempt.unreadable_since = now;
    return poll_attempt(id, now);
  }
  schedule_poll(attempt, now, proto::kPollResponseTime);
}

void EngineConnections::handle_response(EngineConnection& connection, const proto::HttpResponse& response) {
  const TimePoint now = loop_.now();
  const AttemptId id = connection.attempt;
  if (connection.task == Task::kAttempt) return handle_attempt_response(connection, response, id, now);
  if (connection.task == Task::kSideCall && connection.finishes_attempt)
    return handle_cancel_response(connection, response, id, now);
  make_idle_or_close(connection, response, now);
}

void EngineConnections::handle_cancel_response(EngineConnection& connection,
                                               const proto::HttpResponse& response, AttemptId id,
                                               TimePoint now) {
  if (response.status == 0) return handle_lost(connection, CloseReason::kProtocolError);
  if (const auto at = attempts_.find(id); at != attempts_.end()) finish_attempt(id, at->second.cancelled_as);
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
  const ResultStore::AppendResult put = store_rows(id, attempt, now);
  if (put == ResultStore::AppendResult::kOutOfSpace) {
    // The query ends here; the core has answered its clients, and the policy cancels an attempt that is no
    // more.
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
  attempt.unreadable_since.reset();
  const bool must_slow_down = put == ResultStore::AppendResult::kStoredSlowDown;
  if (!must_slow_down && response.is_reusable) return write_call(connection, now);
  attempt.connection = nullptr;
  if (must_slow_down)
    schedule_poll(attempt, now, kBackpressureDelay);
  else
    poll_attempt(id, now);
  make_idle_or_close(connection, response, now);
}

// Rows of a paged result go to the result store as they come.
ResultStore::AppendResult EngineConnections::store_rows(AttemptId id, Attempt& attempt, TimePoint now) {
  if (!attempt.request.paged || !attempt.exchange.has_rows()) return ResultStore::AppendResult::kStored;
  return core_->append_page(now, id, attempt.exchange.take_rows());
}

void EngineConnections::finish_from_response(AttemptId id, Attempt& attempt, Outcome outcome, TimePoint now) {
  attempt.connection = nullptr;
  // All of a paged result is here: the engine need hold it no longer. A plain result ends by itself there.
  if (outcome == Outcome::kOk && attempt.request.paged) cancel_at_engine(id, now);
  // After a call that may not have arrived, an engine that does not know the query is not at fault.
  const bool is_blameless = outcome == Outcome::kFailed && attempt.unreadable_since;
  finish_attempt(id, is_blameless ? Outcome::kIndeterminate : outcome, attempt.exchange.take_rows());
}

void EngineConnections::handle_unusable_response(EngineConnection& connection, AttemptId id, Attempt& attempt,
                                                 TimePoint now) {
  attempt.connection = nullptr;
  metrics_.add("engine responses unusable");
  close_connection(connection, CloseReason::kProtocolError);
  if (attempt.unreadable_since && now - *attempt.unreadable_since > proto::kUnpolledLifetime)
    return cancel_and_await(id, Outcome::kIndeterminate, now);
  poll_elsewhere(id, now);
}

// A connection has ended, or its call has had no response in its time. What that proves: one that was never
// established, or took only part of the start, has begun nothing. Else the query may run on, whatever becomes
// of the connections that poll it.
void EngineConnections::handle_lost(EngineConnection& connection, CloseReason reason) {
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
  if (task == Task::kSideCall && finishes_attempt)
    return was_refused ? poll_unreachable(id, now) : poll_attempt(id, now);
  if (task != Task::kAttempt) return;
  attempt.connection = nullptr;
  if (!attempt.may_have_run && is_call_unsent) return finish_attempt(id, Outcome::kConnectFailed);
  attempt.may_have_run = true;
  was_refused ? poll_unreachable(id, now) : poll_elsewhere(id, now);
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
  // Guards engines against commands that nobody waits for: one that runs when its client's time is over runs
  // on and keeps its place, and many gateways' together fill every engine. Written once, and nothing waits
  // for the response: where it is lost, the query ends because nobody polls it.
  if (attempt.request.may_cancel) cancel_at_engine(id, now);
  finish_attempt(id, outcome);
}

// Nothing else may use the connection before the response to its last call has come.
void EngineConnections::detach_connection(Attempt& attempt, Outcome outcome, TimePoint now) {
  EngineConnection& connection = *attempt.connection;
  attempt.connection = nullptr;
  connection.task = Task::kIgnoreResponse;
  restart_timeout(connection, now);
  if (!attempt.may_have_run || !connection.is_connected() || outcome != Outcome::kCancelled)
    close_connection(connection, CloseReason::kAttemptEnded);
}

// The attempt ends with the engine's response to the cancel, or at the latest when nobody has polled the
// query for as long as one lives unpolled: it may run on until then.
void EngineConnections::cancel_and_await(AttemptId id, Outcome outcome, TimePoint now) {
  Attempt& attempt = attempts_.at(id);
  attempt.cancelled_as = outcome;
  attempt.poll_at.reset();
  attempt.cancel_expires_at = unpolled_expiry(attempt);
  check_at(*attempt.cancel_expires_at);
  poll_attempt(id, now);
}

void EngineConnections::set_priority(TimePoint now, AttemptId id, int priority) {
  const auto at = attempts_.find(id);
  if (at == attempts_.end()) return;
  AttemptRequest& request = at->second.request;
  request.priority = priority;
  if (!at->second.is_start_written) return;  // its start carries it
  std::string call;
  proto::append_priority_update(call, request.command, pools_.at(request.engine).address, priority);
  if (EngineConnection* const connection = acquire_connection(request.engine, now))
    make_side_call(*connection, id, std::move(call), false, now);
}

void EngineConnections::cancel_at_engine(AttemptId id, TimePoint now) {
  if (EngineConnection* const connection = acquire_connection(attempts_.at(id).request.engine, now))
    make_side_call(*connection, id, cancel_call(id, *connection), false, now);
}

std::string EngineConnections::cancel_call(AttemptId id, const EngineConnection& connection) const {
  std::string call;
  proto::append_cancel(call, attempts_.at(id).request.command, connection.address);
  return call;
}

void EngineConnections::make_side_call(EngineConnection& connection, AttemptId id, std::string call,
                                       bool finishes_attempt, TimePoint now) {
  connection.task = Task::kSideCall;
  connection.attempt = id;
  connection.side_call = std::move(call);
  connection.finishes_attempt = finishes_attempt;
  restart_timeout(connection, now);
  if (connection.is_connected()) write_call(connection, now);
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
  forget_if_unused(engine);
  finished_.push_back({id, outcome, std::move(rows)});
}

}  // namespace firvalve::net
