#include "net/client_connection.h"

#include <algorithm>

#include "net/client_timeouts.h"

namespace firvalve::net {

using namespace std::chrono_literals;

namespace {

// While more bytes of answers than this are unsent, the client's requests are not read.
constexpr size_t kMaxUnsentBytes = size_t{128} * 1024;
// How long a lingering close waits for the client's end of the stream. The close of a rejected client must be
// complete within 3 s.
constexpr Duration kMaxLinger = 500ms;

}  // namespace

ClientConnection::ClientConnection(ClientServer& server, const Poco::Net::StreamSocket& socket)
    : Connection(server.loop_, socket, Kind::kClient), server_(server), last_active_at_(loop_.now()) {
  if (server_.result_store_) peer_address_ = socket.peerAddress().host().toString();
}

// For memory, a client that reads its answers still gets those to its open calls.
void ClientConnection::evict(EvictionReason reason) {
  server_.metrics_.add("client connections evicted");
  if (reason == EvictionReason::kMemoryLimit && !is_lingering() && unsent_bytes() == 0)
    return reject_connection("out of memory");
  close_with_reason(close_reason_of(reason));
}

void ClientConnection::cancel_open_calls() {
  const TimePoint now = loop_.now();
  for (const auto& [id, call] : open_calls_) {
    server_.forget_call(call);
    server_.handle_client_gone(now, call);
  }
  open_calls_.clear();
}

void ClientConnection::close_with_reason(CloseReason reason) {
  const size_t open_calls = open_calls_.size();
  cancel_open_calls();
  close();
  server_.remove_connection(*this, reason, open_calls);
}

void ClientConnection::start_graceful_close() {
  cancel_open_calls();
  last_active_at_ = loop_.now();
  start_lingering_close();
}

void ClientConnection::reject_connection(const char* reason) {
  server_.metrics_.add("client connections rejected:", reason);
  std::string out;
  proto::append_error(out, 0, false, proto::kRpcUnreadable, reason);
  for (const auto& [id, call] : open_calls_) proto::append_error(out, id, true, proto::kRpcFailed, "failed");
  write(out);
  start_graceful_close();
}

void ClientConnection::handle_answer_written() {
  last_active_at_ = loop_.now();
  if (is_half_closed_by_peer_ && open_calls_.empty() && unsent_bytes() == 0)
    close_with_reason(CloseReason::kClosedByPeer);
}

// Guards against clients that connect and send nothing, stop in the middle of a message, stay connected after
// a single request, or do not read their answers. It may cut off a slow client's message, but known clients
// send a message in far less than the timeout.
void ClientConnection::check_timeouts(TimePoint now) {
  if (is_lingering()) {
    if (now - last_active_at_ > kMaxLinger) close_with_reason(CloseReason::kGracefulClose);
    return;
  }
  if (unsent_bytes() > kMaxUnsentBytes) look_for_end();  // nothing is read until the client reads
  const ClientActivity activity{has_sent_message_, has_open_calls(), last_active_at_, partial_message_since_};
  const ClientTimeout expired = expired_timeout(activity, now);
  // Input that has already arrived is handled first.
  if (expired == ClientTimeout::kNone || !is_input_handled()) return;
  switch (expired) {
    case ClientTimeout::kNone:
      return;
    case ClientTimeout::kNoMessage:
      return reject_connection("no message");
    case ClientTimeout::kIncompleteMessage:
      return reject_connection("message cut short");
    case ClientTimeout::kIdle:
      server_.metrics_.add("client connections idle for too long");
      return start_graceful_close();
  }
}

// The rest of the message is skipped as it arrives, so that the framing stays intact and the calls that are
// open on the connection go on. An answer needs the request's id.
void ClientConnection::discard_incomplete_message() {
  const std::optional<int64_t> id = proto::find_request_id(read_buffer_.text());
  if (!id) return reject_connection("out of memory");
  server_.metrics_.add("client messages skipped: memory limit");
  skipped_message_ = {*id, frames_.abandon_message(read_buffer_)};
  drop_input();
}

bool ClientConnection::skip_message() {
  const size_t skipped = std::min(skipped_message_->missing_bytes, read_buffer_.text().size());
  read_buffer_.consume(skipped);
  skipped_message_->missing_bytes -= skipped;
  if (skipped_message_->missing_bytes > 0) return false;
  const int64_t id = skipped_message_->id;
  skipped_message_.reset();
  mark_message_received();
  if (open_calls_.count(id)) {
    reject_connection("number in use");
    return false;
  }
  server_.metrics_.add("calls rejected: buffers full");
  std::string out;
  proto::append_error(out, id, true, proto::kRpcFailed, "failed");
  write(out);
  return is_open();
}

void ClientConnection::mark_message_received() {
  partial_message_since_.reset();
  has_sent_message_ = true;
  last_active_at_ = loop_.now();
}

void ClientConnection::on_bytes() {
  if (handles_input_at_) return;
  if (may_have_more_input()) look_for_end();
  if (skipped_message_ && !skip_message()) return;
  std::span<char> message;
  for (;;) {
    // Guards the memory limit against a client that sends but does not read: its requests stay in the
    // kernel's receive buffer.
    if (unsent_bytes() > kMaxUnsentBytes) return hold_input();
    if (must_wait()) return hold_input();
    const proto::ReadResult read = frames_.next(read_buffer_, message);
    if (read == proto::ReadResult::kIncomplete) return update_partial_message_since();
    if (read == proto::ReadResult::kMalformed) return reject_connection("broken framing");
    mark_message_received();
    handle_message(message);
    if (!is_open() || is_lingering()) return;
  }
}

// All input is handled at once while the gateway shuts down.
bool ClientConnection::must_wait() {
  if (server_.is_listener_closed_) return false;
  handles_input_at_ = rate_limit_.wait_until(loop_.now());
  if (!handles_input_at_) return false;
  server_.resume_input_at(*this, *handles_input_at_);
  return true;
}

void ClientConnection::resume_input() {
  handles_input_at_.reset();
  if (!is_open() || is_lingering()) return;
  look_for_end();
  resume_reading();
}

void ClientConnection::hold_input() {
  partial_message_since_.reset();
  set_reading(false);
}

void ClientConnection::resume_reading() {
  if (!is_half_closed_by_peer_) set_reading(true);
  if (!read_buffer_.text().empty())
    on_bytes();
  else
    update_partial_message_since();
}

void ClientConnection::update_partial_message_since() {
  if (!is_in_message())
    partial_message_since_.reset();
  else if (!partial_message_since_)
    partial_message_since_ = loop_.now();
}

void ClientConnection::on_written() {
  if (handles_input_at_) return;
  resume_reading();
  if (is_open() && !is_lingering()) handle_answer_written();
}

// A client that has closed its socket looks the same as one that has only half-closed. Each accepted
// command still gets its answer, in case the client reads it. The core learns of the half-close and starts
// the client's commands only without further delay.
bool ClientConnection::keeps_half_open() {
  is_half_closed_by_peer_ = true;
  report_end();
  return !open_calls_.empty() || unsent_bytes() > 0;
}

void ClientConnection::look_for_end() {
  if (!end_seen_at_ && has_peer_ended()) report_end();
}

// A client whose end is known may have left, so requests that are read behind that are started at once or
// not at all.
void ClientConnection::report_end() {
  const TimePoint now = loop_.now();
  if (!end_seen_at_) end_seen_at_ = now;
  for (const auto& [id, call] : open_calls_) server_.core_->client_half_closed(now, call, *end_seen_at_);
}

void ClientConnection::on_end(End end) {
  close_with_reason(is_lingering() ? CloseReason::kGracefulClose : close_reason_of(end));
}

}  // namespace firvalve::net
