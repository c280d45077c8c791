// The requests of a client connection: what is done with each message that has arrived whole.
#include "net/client_connection.h"
#include "proto/statement.h"

namespace firvalve::net {

namespace {

// What a topic's change takes once it is decoded, for each byte of its parameters.
constexpr size_t kBytesPerParameterByte = 4;

}  // namespace

void ClientConnection::handle_message(std::span<char> message) {
  using Kind = proto::RpcCall::Kind;
  const size_t open_calls_before = open_calls_.size();
  proto::RpcCall call = proto::read_call(message);
  std::string out;
  switch (call.kind) {
    case Kind::kHeartbeat:
      handle_heartbeat(call, out);
      break;
    case Kind::kRevoke:
      handle_revoke(call);
      break;
    case Kind::kTopic:
      handle_topic(call, out);
      break;
    case Kind::kRunOnce:
      handle_run_once(call, out);
      break;
    case Kind::kCommand:
      handle_command(call, out);
      break;
    case Kind::kPage:
      handle_page_read(call, out);
      break;
    case Kind::kRelease:
      handle_release(call, out);
      break;
    case Kind::kInvalid:
      reject_call(call, out, call.error_code, call.error_message);
      break;
  }
  if (open_calls_.size() <= open_calls_before) rate_limit_.count(loop_.now(), message.size());
  if (!out.empty()) write(out);
}

void ClientConnection::handle_heartbeat(const proto::RpcCall& call, std::string& out) {
  if (call.has_id) proto::append_heartbeat_reply(out, call.id, true, server_.reads_retry_markers_);
}

void ClientConnection::reject_call(const proto::RpcCall& call, std::string& out, int code,
                                   std::string_view reason) {
  server_.metrics_.add("calls not understood");
  proto::append_error(out, call.id, call.has_id, code, reason);
}

// A reused id of an open call ends the connection: an answer could not be matched to one of the two calls.
bool ClientConnection::can_open_call(const proto::RpcCall& call, std::string& out) {
  if (open_calls_.size() >= proto::kMaxRpcOpenCalls) {
    reject_call(call, out, proto::kRpcBadRequest, "too many open requests");
    return false;
  }
  if (open_calls_.count(call.id)) {
    reject_connection("number in use");
    return false;
  }
  return true;
}

void ClientConnection::open_call(CallId call, int64_t id, std::string_view key, size_t held_bytes) {
  add_call(id, call);
  server_.open_calls_[call] = {this, id, std::string(key), held_bytes};
}

// Revokes only calls of this connection: a client cannot revoke another client's command.
void ClientConnection::handle_revoke(const proto::RpcCall& request) {
  const auto at = open_calls_.find(request.revoked_id);
  const std::optional<CallId> call =
      at != open_calls_.end() ? at->second : server_.core_->find_call(request.command);
  if (!call) return;
  const auto open = server_.open_calls_.find(*call);
  if (open == server_.open_calls_.end() || open->second.connection != this) return;
  server_.close_call(*call);
  server_.handle_client_gone(loop_.now(), *call);
}

bool ClientConnection::is_cluster_call_valid(const proto::RpcCall& call, std::string& out) {
  if (!server_.cluster_) {
    reject_call(call, out, proto::kRpcNoMethod, "no such method");
    return false;
  }
  if (call.name.empty() || call.name.size() > kMaxClusterNameBytes) {
    reject_call(call, out, proto::kRpcBadParams, "name is not 1 to 128 bytes");
    return false;
  }
  return true;
}

void ClientConnection::handle_topic(const proto::RpcCall& request, std::string& out) {
  if (!is_cluster_call_valid(request, out) || !can_open_call(request, out)) return;
  // Held until the cluster replies, also if the call was closed before.
  const size_t bytes = PendingCommands::kRecordBytes + kBytesPerParameterByte * request.statement.size();
  if (!can_hold(request, out, bytes)) return;
  const CallId call = server_.next_call_id();
  open_call(call, request.id);
  server_.cluster_->handle_topic_request(
      loop_.now(), request.profile, request.name, request.statement, request.timeout,
      [&server = server_, call, bytes](const ClusterRequests::Reply& reply) {
        server.release_bytes(bytes);
        server.reply(call, reply);
      });
}

bool ClientConnection::can_hold(const proto::RpcCall& call, std::string& out, size_t bytes) {
  if (server_.hold_bytes(bytes)) return true;
  server_.metrics_.add("calls rejected: out of memory");
  proto::append_error(out, call.id, true, proto::kRpcFailed, "failed");
  return false;
}

std::optional<CommandRequest> ClientConnection::make_command_request(proto::RpcCall& call, std::string& out) {
  CommandRequest request;
  request.command = call.command;
  request.profile = call.profile;
  request.table_group = proto::table_group(call.statement).value_or(-1);
  request.statement = std::move(call.statement);
  if (server_.reads_retry_markers_ && !call.first_command.empty()) {
    if (!proto::is_command_id(call.first_command)) {
      reject_call(call, out, proto::kRpcBadParams, "first is not 16 hex digits");
      return std::nullopt;
    }
    request.retry_of = call.first_command;
  }
  if (server_.result_store_ && call.is_paged) {
    request.paged = true;
    request.result_key = call.key;
    request.owner = call.key.empty() ? std::string_view(peer_address_) : call.key;
  }
  request.timeout = call.timeout;
  if (call.estimate != Duration::zero()) request.estimated_work = call.estimate;
  request.memory_mb = call.memory_mb;
  return request;
}

void ClientConnection::handle_run_once(proto::RpcCall& call, std::string& out) {
  if (!is_cluster_call_valid(call, out) || !can_open_call(call, out)) return;
  std::optional<CommandRequest> request = make_command_request(call, out);
  if (!request) return;
  const size_t bytes = PendingCommands::kRecordBytes + request->statement.size();
  if (!can_hold(call, out, bytes)) return;
  const CallId call_id = server_.next_call_id();
  open_call(call_id, call.id, {}, bytes);
  server_.cluster_->run_once_job(loop_.now(), call_id, call.name, std::move(*request));
}

void ClientConnection::handle_command(proto::RpcCall& call, std::string& out) {
  if (!can_open_call(call, out)) return;
  std::optional<CommandRequest> request = make_command_request(call, out);
  if (!request) return;
  const CallId call_id = server_.next_call_id();
  switch (server_.core_->admit(loop_.now(), call_id, std::move(*request))) {
    case AdmissionResult::kAdmitted:
      open_call(call_id, call.id, call.key);
      if (end_seen_at_) server_.core_->client_half_closed(loop_.now(), call_id, *end_seen_at_);
      return;
    case AdmissionResult::kResultFound:
      open_call(call_id, call.id, call.key);
      return server_.answer_paged(call_id, server_.core_->found_result().value());
    case AdmissionResult::kUnknownProfile:
      return reject_call(call, out, proto::kRpcNoMethod, "no such method");
    case AdmissionResult::kOutOfRange:
      return reject_call(call, out, proto::kRpcBadParams, "a figure is out of range");
    case AdmissionResult::kNoCapacity:
      server_.metrics_.add("calls rejected: out of memory");
      return proto::append_error(out, call.id, true, proto::kRpcFailed, "failed");
    case AdmissionResult::kAlreadyRan:
      server_.metrics_.add("calls rejected: id has run");
      return proto::append_error(out, call.id, true, proto::kRpcFailed, "failed");
    case AdmissionResult::kDuplicateId:
      return reject_call(call, out, proto::kRpcBadParams, "req is in hand already");
  }
}

void ClientConnection::handle_release(const proto::RpcCall& call, std::string& out) {
  if (!server_.result_store_) return reject_call(call, out, proto::kRpcNoMethod, "no such method");
  if (server_.result_store_->release(loop_.now(), call.token, call.key))
    proto::append_released(out, call.id);
  else
    proto::append_error(out, call.id, true, proto::kRpcResultGone, "gone");
}

void ClientConnection::handle_page_read(const proto::RpcCall& request, std::string& out) {
  if (!server_.result_store_) return reject_call(request, out, proto::kRpcNoMethod, "no such method");
  if (!can_open_call(request, out)) return;
  const CallId call = server_.next_call_id();
  open_call(call, request.id);
  server_.metrics_.add("pages read");
  const auto reply = [&server = server_, call, page = request.page](
                         TimePoint, ResultStore::ReadStatus outcome, std::string_view rows,
                         uint64_t page_count) {
    server.reply(call, [&](std::string& text, int64_t id) {
      if (outcome == ResultStore::ReadStatus::kRows)
        proto::append_page(text, id, page, page_count, rows);
      else if (outcome == ResultStore::ReadStatus::kGone)
        proto::append_error(text, id, true, proto::kRpcResultGone, "gone");
      else
        proto::append_error(text, id, true, proto::kRpcNoSuchPage, "no such page");
    });
  };
  server_.result_store_->read_page(loop_.now(), request.token, request.key, request.page, reply);
}

}  // namespace firvalve::net
