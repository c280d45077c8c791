#include "net/client_server.h"

#include <vector>

#include "net/client_connection.h"

namespace firvalve::net {

using namespace std::chrono_literals;

namespace {

constexpr Duration kCheckInterval = 250ms;      // between checks of the connections' timeouts
constexpr Duration kMaxShutdownLinger = 150ms;  // for the last lingering closes before the gateway exits

}  // namespace

ClientServer::ClientServer(Loop& loop, Metrics& metrics)
    : loop_(loop), metrics_(metrics), listener_(loop, true, [this](const auto& socket) { accept(socket); }) {}

ClientServer::~ClientServer() { listener_.pause(); }

void ClientServer::listen(const std::string& address, Core& core) {
  core_ = &core;
  listener_.listen(address);
}

void ClientServer::accept(const Poco::Net::StreamSocket& socket) {
  auto connection = std::make_unique<ClientConnection>(*this, socket);
  ClientConnection* const key = connection.get();
  connections_[key] = std::move(connection);
  metrics_.add("client connections");
}

std::optional<TimePoint> ClientServer::next_due() const {
  std::optional<TimePoint> due = next_check_at_;
  for (const auto& [connection, time] : waiting_) due = earlier_of<TimePoint>(due, time);
  return due;
}

void ClientServer::resume_waiting(TimePoint now) {
  std::vector<ClientConnection*> due;
  for (const auto& [connection, time] : waiting_)
    if (time <= now) due.push_back(connection);
  for (ClientConnection* const connection : due)
    if (waiting_.erase(connection) > 0) connection->resume_input();  // else closed by now
}

void ClientServer::run_due(TimePoint now) {
  resume_waiting(now);
  if (next_check_at_ && now < *next_check_at_) return;
  next_check_at_ = now + kCheckInterval;
  std::vector<ClientConnection*> connections;
  for (const auto& [key, connection] : connections_) connections.push_back(key);
  for (ClientConnection* const connection : connections)
    if (connection->is_open()) connection->check_timeouts(now);
  if (!is_listener_closed_) listener_.resume();
}

// Connections in the kernel's accept queue and unread bytes in socket buffers are still accepted and
// answered, so that the exit loses no request. Connections without open calls or unread input are closed
// gracefully, those in the middle of a message once it is complete or its timeout has expired.
bool ClientServer::close_connections(TimePoint now) {
  if (!is_listener_closed_) {
    accept_all_pending();
    listener_.close();
    is_listener_closed_ = true;
    resume_waiting(TimePoint::max());
  }
  bool are_all_lingering = true;
  for (const auto& [key, connection] : connections_) {
    const bool is_at_rest = !connection->has_open_calls() && !connection->is_receiving_message();
    if (!connection->is_lingering() && is_at_rest && connection->is_input_handled())
      connection->start_graceful_close();
    are_all_lingering &= connection->is_lingering();
  }
  if (!are_all_lingering) return false;
  if (!all_lingering_since_) all_lingering_since_ = now;
  return connections_.empty() || now - *all_lingering_since_ > kMaxShutdownLinger;
}

void ClientServer::accept_all_pending() {
  listener_.pause();
  size_t accepted_before = SIZE_MAX;
  while (accepted_before != connections_.size()) {
    accepted_before = connections_.size();
    listener_.accept_pending();
  }
  listener_.pause();
}

size_t ClientServer::unsent_bytes() const {
  size_t bytes = 0;
  for (const auto& [key, connection] : connections_) bytes += connection->unsent_bytes();
  return bytes;
}

void ClientServer::remove_connection(ClientConnection& connection, CloseReason reason, size_t open_calls) {
  const auto at = connections_.find(&connection);
  if (at == connections_.end()) return;
  metrics_.add("client connections closed:", name_of(reason));
  if (open_calls > 0) metrics_.add("calls closed without an answer:", name_of(reason), open_calls);
  if (observer_) observer_(loop_.now(), {reason, {}, open_calls});
  loop_.destroy_after_turn(std::move(at->second));
  waiting_.erase(&connection);
  connections_.erase(at);
}

void ClientServer::handle_client_gone(TimePoint now, CallId call) {
  core_->client_gone(now, call);
  if (cluster_) cluster_->client_gone(now, call);
}

std::optional<ClientServer::ClosedCall> ClientServer::close_call(CallId call) {
  const auto at = open_calls_.find(call);
  if (at == open_calls_.end()) return std::nullopt;
  const ClosedCall closed{at->second.connection, at->second.id};
  closed.connection->remove_call(closed.id);
  forget_call(call);
  return closed;
}

bool ClientServer::hold_bytes(size_t bytes) {
  if (held_bytes_ + bytes > max_held_bytes_) return false;
  held_bytes_ += bytes;
  return true;
}

void ClientServer::forget_call(CallId call) {
  const auto at = open_calls_.find(call);
  if (at == open_calls_.end()) return;
  release_bytes(at->second.held_bytes);
  open_calls_.erase(at);
}

void ClientServer::reply(CallId call, const AppendReply& append) {
  const std::optional<ClosedCall> closed = close_call(call);
  if (!closed) return;
  std::string out;
  append(out, closed->id);
  closed->connection->write(out);
  if (closed->connection->is_open()) closed->connection->handle_answer_written();
}

void ClientServer::reply(CallId call, const ClusterRequests::Reply& cluster_reply) {
  reply(call, [&](std::string& out, int64_t id) {
    using Kind = ClusterRequests::Reply::Kind;
    switch (cluster_reply.kind) {
      case Kind::kDone:
        return proto::append_json_result(out, id, cluster_reply.text);
      case Kind::kRejected:
        return proto::append_rejected_change(out, id, cluster_reply.text);
      case Kind::kInvalidParams:
        return proto::append_error(out, id, true, proto::kRpcBadParams, cluster_reply.text);
      case Kind::kNoQuorum:
        return proto::append_error(out, id, true, proto::kRpcNoQuorum,
                                   "no majority of keepers: nothing was changed");
      case Kind::kOutcomeUnknown:
        return proto::append_error(out, id, true, proto::kRpcOutcomeUnknown,
                                   "it may have been made: ask again");
    }
  });
}

void ClientServer::answer(CallId call, std::string_view rows) {
  reply(call, [&](std::string& out, int64_t id) { proto::append_result(out, id, rows); });
}

void ClientServer::shed(CallId call, std::optional<Duration> retry_after) {
  reply(call, [&](std::string& out, int64_t id) { proto::append_shed(out, id, retry_after); });
}

void ClientServer::fail(CallId call, std::string_view reason) {
  reply(call,
        [&](std::string& out, int64_t id) { proto::append_error(out, id, true, proto::kRpcFailed, reason); });
}

void ClientServer::answer_paged(CallId call, ResultHandle result) {
  const auto at = open_calls_.find(call);
  if (at == open_calls_.end()) return;
  const PagedAnswer paged = result_store_->answer_of(result);
  const std::string key = at->second.key;
  // Asynchronous, since the first page may have to be read from disk.
  result_store_->read_page(
      loop_.now(), paged.token, key, 1,
      [this, call, paged](TimePoint, ResultStore::ReadStatus outcome, std::string_view rows, uint64_t) {
        reply(call, [&](std::string& out, int64_t id) {
          outcome == ResultStore::ReadStatus::kGone
              ? proto::append_error(out, id, true, proto::kRpcFailed, "the result was lost")
              : proto::append_paged(out, id, paged.token, paged.pages, paged.rows, rows);
        });
      });
}

}  // namespace firvalve::net
