#include "net/engine_connections.h"

#include <Poco/Net/NetException.h>

#include <algorithm>

namespace firvalve::net {

using namespace std::chrono_literals;

namespace {

// A connection is closed this long before the engine's idle timeout, so that no request is sent while the
// engine closes the connection. At most kMaxIdleShare of the timeout, so that a short timeout still allows
// reuse.
constexpr Duration kIdleSlack = 2000ms;
constexpr double kMaxIdleShare = 0.5;

}  // namespace

EngineConnections::EngineConnections(Loop& loop, Metrics& metrics, const Timeouts& timeouts)
    : loop_(loop), metrics_(metrics), timeouts_(timeouts) {}
EngineConnections::~EngineConnections() = default;

// A delisted engine gets no new attempts. It keeps its connections for attempts that still run, and its
// address until another engine is listed with it.
void EngineConnections::update_engine(TimePoint, uint32_t engine, std::string_view address,
                                      EngineState state) {
  const bool is_delisted = state == EngineState::kRemoved;
  if (EnginePool& pool = pools_[engine]; is_delisted ? pool.attempt_count == 0 : pool.address != address)
    close_idle_connections(engine);
  EnginePool& pool = pools_[engine];
  pool.is_delisted = is_delisted;
  if (is_delisted) return remove_if_unused(engine);
  if (pool.address == address) return;
  release_address(engine, pool);
  pool.address = address;
  const auto [at, is_new] = engine_by_address_.try_emplace(pool.address, engine);
  if (is_new) return;
  pools_.at(at->second).address.clear();
  at->second = engine;
}

void EngineConnections::release_address(uint32_t engine, EnginePool& pool) {
  const auto at = engine_by_address_.find(pool.address);
  if (at != engine_by_address_.end() && at->second == engine) engine_by_address_.erase(at);
  pool.address.clear();
}

void EngineConnections::remove_if_unused(uint32_t engine) {
  const auto at = pools_.find(engine);
  if (at == pools_.end()) return;
  EnginePool& pool = at->second;
  if (!pool.is_delisted || pool.attempt_count > 0 || !pool.connections.empty()) return;
  release_address(engine, pool);
  pools_.erase(at);
}

EngineConnection* EngineConnections::acquire_connection(uint32_t engine, TimePoint now) {
  const auto at = pools_.find(engine);
  if (at == pools_.end()) return nullptr;
  if (EngineConnection* const idle = take_idle_connection(at->second)) return idle;
  if (at->second.address.empty()) return nullptr;
  return open_connection(at->second, engine, now);
}

// Takes the connection that has been idle longest: stray bytes after its last response have most likely
// arrived by now and are detected.
EngineConnection* EngineConnections::take_idle_connection(EnginePool& pool) {
  while (!pool.idle.empty()) {
    EngineConnection* const connection = pool.idle.front();
    if (!connection->has_nothing_to_read()) {
      close_connection(*connection, CloseReason::kClosedByPeer);
      continue;
    }
    pool.idle.erase(pool.idle.begin());
    return connection;
  }
  return nullptr;
}

EngineConnection* EngineConnections::open_connection(EnginePool& pool, uint32_t engine, TimePoint now) {
  if (!loop_.reserve_descriptor(false)) {
    metrics_.add("engine connections not opened: no descriptor");
    return nullptr;
  }
  EngineConnection::Owner& owner = *this;
  try {
    auto connection =
        std::make_unique<EngineConnection>(owner, loop_, metrics_, engine, pool.address, max_page_bytes_);
    EngineConnection* const key = connection.get();
    restart_timeout(*key, now);
    pool.connections[key] = std::move(connection);
    metrics_.add("engine connections");
    return key;
  } catch (const Poco::Exception&) {
    return nullptr;  // the address is malformed, or no descriptor is left
  }
}

// Guards against an attempt that reaches its engine after the client got its final answer: during a network
// partition the kernel keeps unsent bytes, even of a closed socket, and would deliver them afterwards. A busy
// connection is therefore aborted.
void EngineConnections::close_connection(EngineConnection& connection, CloseReason reason) {
  connection.task == Task::kIdle ? connection.close() : connection.abort();
  const auto pool = pools_.find(connection.engine);
  if (pool == pools_.end()) return;  // already closed; so is a connection that is missing from its pool
  std::erase(pool->second.idle, &connection);
  const auto at = pool->second.connections.find(&connection);
  if (at == pool->second.connections.end()) return;
  metrics_.add("engine connections closed:", name_of(reason));
  if (observer_)
    observer_(loop_.now(), {reason, connection.address, connection.task == Task::kAttempt ? 1u : 0u});
  loop_.destroy_after_turn(std::move(at->second));
  pool->second.connections.erase(at);
  remove_if_unused(connection.engine);
}

void EngineConnections::close_idle_connections(uint32_t engine) {
  // Copied, since closing the last connection may remove the pool.
  const std::vector<EngineConnection*> idle = pools_.at(engine).idle;
  for (EngineConnection* const connection : idle)
    close_connection(*connection, CloseReason::kEndpointRemoved);
}

// Called for each new task or request, which has its own timeout.
void EngineConnections::restart_timeout(EngineConnection& connection, TimePoint now) {
  connection.timeout_started_at = now;
  schedule_check(timeout_at(connection));
}

void EngineConnections::make_idle(EngineConnection& connection, TimePoint now) {
  connection.task = Task::kIdle;
  connection.attempt = AttemptId{};
  restart_timeout(connection, now);
  EnginePool& pool = pools_.at(connection.engine);
  if (pool.attempt_count == 0 && (pool.is_delisted || pool.address.empty()))
    return close_connection(connection, CloseReason::kEndpointRemoved);
  pool.idle.push_back(&connection);
  for (const auto& [id, attempt] : attempts_)
    if (attempt.unreachable_since && attempt.request.engine == connection.engine) next_check_at_ = now;
}

void EngineConnections::make_idle_or_close(EngineConnection& connection, const proto::HttpResponse& response,
                                           TimePoint now) {
  if (response.is_reusable) return make_idle(connection, now);
  close_connection(connection,
                   response.status != 0 ? CloseReason::kNotReusable : CloseReason::kProtocolError);
}

// Handles expired attempts and connections, and sends polls that are due.
void EngineConnections::check_timeouts(TimePoint now) {
  next_check_at_.reset();
  check_attempt_timeouts(now);
  check_connection_timeouts(now);
}

void EngineConnections::check_attempt_timeouts(TimePoint now) {
  std::vector<AttemptId> expired, to_poll;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.cancel_expires_at && now >= *attempt.cancel_expires_at) expired.push_back(id);
    const bool is_reachable_again =
        attempt.unreachable_since && !pools_.at(attempt.request.engine).idle.empty();
    if (attempt.poll_at && (now >= *attempt.poll_at || is_reachable_again)) to_poll.push_back(id);
    for (const auto& time : {attempt.cancel_expires_at, attempt.poll_at})
      if (time && *time > now) schedule_check(*time);
  }
  for (const AttemptId id : expired) finish_attempt(id, attempts_.at(id).cancel_outcome);
  for (const AttemptId id : to_poll)
    if (attempts_.count(id)) poll_attempt(id, now);
}

void EngineConnections::check_connection_timeouts(TimePoint now) {
  std::vector<EngineConnection*> timed_out;
  for (auto& [engine, pool] : pools_)
    for (const auto& [connection, owned] : pool.connections) {
      const TimePoint time = timeout_at(*connection);
      if (now >= time)
        timed_out.push_back(connection);
      else
        schedule_check(time);
    }
  for (EngineConnection* const connection : timed_out)
    handle_connection_lost(*connection, timeout_reason(*connection));
}

CloseReason EngineConnections::timeout_reason(const EngineConnection& connection) {
  if (connection.was_refused()) return CloseReason::kRefused;
  if (!connection.is_connected()) return CloseReason::kConnectTimeout;
  return connection.task == Task::kIdle ? CloseReason::kIdleTimeout : CloseReason::kResponseTimeout;
}

TimePoint EngineConnections::timeout_at(const EngineConnection& connection) const {
  if (!connection.is_connected())
    return connection.timeout_started_at + (connection.was_refused() ? Duration::zero() : timeouts_.connect);
  if (connection.task == Task::kIdle)
    return connection.timeout_started_at + timeouts_.idle -
           std::min<Duration>(kIdleSlack, kMaxIdleShare * timeouts_.idle);
  return connection.timeout_started_at + (connection.task == Task::kDiscardResponse
                                              ? proto::kUnpolledLifetime
                                              : proto::kPollResponseTime + kNetworkSlack);
}

void EngineConnections::run_due(TimePoint now) {
  if (next_check_at_ && now >= *next_check_at_) check_timeouts(now);
  being_reported_.swap(finished_);
  for (FinishedAttempt& finished : being_reported_)
    core_->attempt_finished(now, finished.attempt, finished.outcome, finished.rows);
  being_reported_.clear();
}

std::optional<TimePoint> EngineConnections::next_due() const {
  return finished_.empty() ? next_check_at_ : TimePoint{};  // a time in the past: run at once
}

}  // namespace firvalve::net
