#include "net/engine_connections.h"

#include <Poco/Net/NetException.h>

#include <algorithm>

namespace firvalve::net {

using namespace std::chrono_literals;

namespace {

constexpr Duration kIdleSlack = 2000ms;  // before an engine's idle timeout: a call must not cross its close
constexpr double kMaxIdleShare = 0.5;    // of the idle timeout at most: where that is short, some use is left

}  // namespace

EngineConnections::EngineConnections(Loop& loop, Metrics& metrics, const Timeouts& timeouts)
    : loop_(loop), metrics_(metrics), timeouts_(timeouts) {}
EngineConnections::~EngineConnections() = default;

// An engine that was delisted keeps its address, until that is another's, and its connections for what still
// runs there: it takes no new attempts.
void EngineConnections::update_engine(TimePoint, uint32_t engine, std::string_view address,
                                      EngineState state) {
  const bool is_delisted = state == EngineState::kRemoved;
  if (EnginePool& pool = pools_[engine]; is_delisted ? pool.attempt_count == 0 : pool.address != address)
    close_idle_connections(engine);
  EnginePool& pool = pools_[engine];
  pool.is_delisted = is_delisted;
  if (is_delisted) return forget_if_unused(engine);
  if (pool.address == address) return;
  release_address(engine, pool);
  pool.address = address;
  const auto [at, is_new] = engine_at_.try_emplace(pool.address, engine);
  if (is_new) return;
  pools_.at(at->second).address.clear();
  at->second = engine;
}

void EngineConnections::release_address(uint32_t engine, EnginePool& pool) {
  const auto at = engine_at_.find(pool.address);
  if (at != engine_at_.end() && at->second == engine) engine_at_.erase(at);
  pool.address.clear();
}

void EngineConnections::forget_if_unused(uint32_t engine) {
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

// The one that has been idle longest, so that whatever may still follow its last response has come by now.
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
    return nullptr;  // the address cannot be read, or no descriptor is left
  }
}

// Guards against an attempt that comes to its engine after its final answer: bytes for a machine that is cut
// off wait in the system and would go out when it is back, even from a closed connection.
void EngineConnections::close_connection(EngineConnection& connection, CloseReason reason) {
  connection.task == Task::kIdle ? connection.close() : connection.abort();
  const auto pool = pools_.find(connection.engine);
  if (pool == pools_.end()) return;  // closed before, as is one that is not in its pool any longer
  std::erase(pool->second.idle, &connection);
  const auto at = pool->second.connections.find(&connection);
  if (at == pool->second.connections.end()) return;
  metrics_.add("engine connections closed:", name_of(reason));
  if (observer_)
    observer_(loop_.now(), {reason, connection.address, connection.task == Task::kAttempt ? 1u : 0u});
  loop_.destroy_after_turn(std::move(at->second));
  pool->second.connections.erase(at);
  forget_if_unused(connection.engine);
}

void EngineConnections::close_idle_connections(uint32_t engine) {
  const std::vector<EngineConnection*> idle =
      pools_.at(engine).idle;  // the pool may end with the last of them
  for (EngineConnection* const connection : idle)
    close_connection(*connection, CloseReason::kEndpointRemoved);
}

// For a new task, or a new call of one, with its own timeout.
void EngineConnections::restart_timeout(EngineConnection& connection, TimePoint now) {
  connection.since = now;
  check_at(timeout_at(connection));
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
    if (attempt.unreachable_since && attempt.request.engine == connection.engine) check_at_ = now;
}

void EngineConnections::make_idle_or_close(EngineConnection& connection, const proto::HttpResponse& response,
                                           TimePoint now) {
  if (response.is_reusable) return make_idle(connection, now);
  close_connection(connection,
                   response.status != 0 ? CloseReason::kNotReusable : CloseReason::kProtocolError);
}

// Ends what has run out of time, and polls what is to be polled again.
void EngineConnections::check_timeouts(TimePoint now) {
  check_at_.reset();
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
      if (time && *time > now) check_at(*time);
  }
  for (const AttemptId id : expired) finish_attempt(id, attempts_.at(id).cancelled_as);
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
        check_at(time);
    }
  for (EngineConnection* const connection : timed_out) handle_lost(*connection, timeout_reason(*connection));
}

CloseReason EngineConnections::timeout_reason(const EngineConnection& connection) {
  if (connection.was_refused()) return CloseReason::kRefused;
  if (!connection.is_connected()) return CloseReason::kConnectTimeout;
  return connection.task == Task::kIdle ? CloseReason::kIdleTimeout : CloseReason::kResponseTimeout;
}

TimePoint EngineConnections::timeout_at(const EngineConnection& connection) const {
  if (!connection.is_connected())
    return connection.since + (connection.was_refused() ? Duration::zero() : timeouts_.connect);
  if (connection.task == Task::kIdle)
    return connection.since + timeouts_.idle - std::min<Duration>(kIdleSlack, kMaxIdleShare * timeouts_.idle);
  return connection.since + (connection.task == Task::kIgnoreResponse
                                 ? proto::kUnpolledLifetime
                                 : proto::kPollResponseTime + kNetworkSlack);
}

void EngineConnections::run_due(TimePoint now) {
  if (check_at_ && now >= *check_at_) check_timeouts(now);
  reporting_.swap(finished_);
  for (FinishedAttempt& finished : reporting_)
    core_->attempt_finished(now, finished.attempt, finished.outcome, finished.rows);
  reporting_.clear();
}

std::optional<TimePoint> EngineConnections::next_due() const {
  return finished_.empty() ? check_at_ : TimePoint{};  // long past: at once
}

}  // namespace firvalve::net
