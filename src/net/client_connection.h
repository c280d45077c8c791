// A connection from a client: message framing, timeouts, and the handling of each request.
//
// Guarantees: each request that was read gets its answer. A client that has half-closed may still read, so
// its open calls are answered. After a protocol violation the client gets an error, and the connection is
// closed in bounded time.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "net/client_server.h"
#include "net/connection.h"
#include "policy/message_rate_limit.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::net {

class ClientConnection : public Connection {
 public:
  ClientConnection(ClientServer& server, const Poco::Net::StreamSocket& socket);

  // Not while answers are unsent, which the close would cut off, nor with unread input: the close would send
  // a TCP reset.
  bool is_evictable() const override {
    if (unsent_bytes() > 0) return false;
    return is_lingering() || (open_calls_.empty() && is_input_handled());
  }
  void evict(EvictionReason reason) override;
  bool is_receiving_message() const override { return !is_lingering() && partial_message_since_; }
  bool can_discard_message() const override {
    return !is_lingering() && frames_.missing_body_bytes(read_buffer_) > 0;
  }
  void discard_incomplete_message() override;

  // All that has arrived was handled, but for the beginning of a message that has not arrived whole.
  bool is_input_handled() const {
    if (handles_input_at_ || (is_in_message() && !partial_message_since_)) return false;
    return has_nothing_to_read();
  }
  // Handles the input that has waited for the rate limit.
  void resume_input();
  bool has_open_calls() const { return !open_calls_.empty(); }
  void add_call(int64_t id, CallId call) { open_calls_[id] = call; }
  void remove_call(int64_t id) { open_calls_.erase(id); }
  void handle_answer_written();

  // Starts a graceful close. Input that arrives from now on is discarded.
  void start_graceful_close();
  // Closes the connection if one of its timeouts has expired.
  void check_timeouts(TimePoint now);

 protected:
  void on_bytes() override;
  void on_written() override;
  bool keeps_half_open() override;
  void on_end(End end) override;

 private:
  // A request that the memory limit does not let the gateway keep. It is answered once it has arrived.
  struct SkippedMessage {
    int64_t id = 0;
    size_t missing_bytes = 0;
  };

  void cancel_open_calls();
  void close_with_reason(CloseReason reason);
  // Sends an error without an id, fails each open call and closes the connection gracefully.
  void reject_connection(const char* reason);
  // A message was begun, or input is buffered that may hold whole messages.
  bool is_in_message() const {
    return skipped_message_ || frames_.is_in_message() || !read_buffer_.text().empty();
  }
  void update_partial_message_since();
  // Stops reading. Until resume_reading(), the buffered input waits in the gateway, not for the client.
  void hold_input();
  void resume_reading();
  // Returns true if the next message must wait for the rate limit.
  bool must_wait();
  // Looks for the end of the client's stream behind input that waits, and reports it for all open calls.
  void look_for_end();
  void report_end();
  // Returns false if more of the skipped message is to come or the connection was rejected.
  bool skip_message();
  void mark_message_received();

  void handle_message(std::span<char> message);
  // Each handler appends an immediate reply, if there is one, to `out`.
  void handle_heartbeat(const proto::RpcCall& call, std::string& out);
  void handle_revoke(const proto::RpcCall& call);
  void handle_topic(const proto::RpcCall& call, std::string& out);
  void handle_run_once(proto::RpcCall& call, std::string& out);
  void handle_command(proto::RpcCall& call, std::string& out);
  void handle_page_read(const proto::RpcCall& call, std::string& out);
  void handle_release(const proto::RpcCall& call, std::string& out);
  void reject_call(const proto::RpcCall& call, std::string& out, int code, std::string_view reason);

  // Returns false if the call was answered with an error or the connection was rejected.
  bool can_open_call(const proto::RpcCall& call, std::string& out);
  // Returns false if the call was answered with an error.
  bool is_cluster_call_valid(const proto::RpcCall& call, std::string& out);
  // Empty: the call was answered with an error.
  std::optional<CommandRequest> make_command_request(proto::RpcCall& call, std::string& out);
  void open_call(CallId call, int64_t id, std::string_view key = {}, size_t held_bytes = 0);
  // Returns false if the call was answered with an error, since there is no memory for what it holds.
  bool can_hold(const proto::RpcCall& call, std::string& out, size_t bytes);

  ClientServer& server_;
  proto::RpcFrames frames_;
  std::optional<SkippedMessage> skipped_message_;
  std::string peer_address_;              // owner of results that have no key; empty without a result store
  std::map<int64_t, CallId> open_calls_;  // by the client's request id
  bool is_half_closed_by_peer_ = false;   // all input was read
  MessageRateLimit rate_limit_;
  std::optional<TimePoint> handles_input_at_;  // set while input waits for the rate limit
  std::optional<TimePoint> end_seen_at_;       // when the end of the stream was seen, maybe behind input
  bool has_sent_message_ = false;
  TimePoint last_active_at_;  // time of the last complete message or answer
  // Set while an incomplete message is buffered and the rest of it is read as it arrives.
  std::optional<TimePoint> partial_message_since_;
};

}  // namespace firvalve::net
