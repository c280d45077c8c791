// One client's connection: its framing and its times, and what each of its requests asks for.
//
// What it keeps to: what was read gets its answer; a client that has ended its stream may still read, so its
// open calls are answered; a connection that cannot be understood any further gets an error and is closed in
// bounded time.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "net/client_server.h"
#include "net/connection.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::net {

class ClientConnection : public Connection {
 public:
  ClientConnection(ClientServer& server, const Poco::Net::StreamSocket& socket);

  // One from which something has arrived that was not read yet is not idle: a close now would reset it.
  bool is_evictable() const override {
    return is_lingering() || (open_calls_.empty() && has_nothing_to_read());
  }
  void evict() override;

  bool has_open_calls() const { return !open_calls_.empty(); }
  void add_call(int64_t id, CallId call) { open_calls_[id] = call; }
  void remove_call(int64_t id) { open_calls_.erase(id); }
  void handle_answered();  // an answer was written

  // Starts a graceful close: what arrives from now on is not taken.
  void start_graceful_close();
  // Ends the connection where its time is over.
  void check_timeouts(TimePoint now);

 protected:
  void on_bytes() override;
  void on_written() override;
  bool keeps_half_open() override;
  void on_end(End end) override;

 private:
  void cancel_open_calls();
  void finish(CloseReason reason);
  void reject_connection(const char* reason);
  void note_partial_message();

  void handle(std::span<char> message);
  // Each appends to `out` what is answered at once.
  void handle_heartbeat(const proto::RpcCall& call, std::string& out);
  void handle_revoke(const proto::RpcCall& call);
  void handle_topic(const proto::RpcCall& call, std::string& out);
  void handle_run_once(proto::RpcCall& call, std::string& out);
  void handle_command(proto::RpcCall& call, std::string& out);
  void handle_page_read(const proto::RpcCall& call, std::string& out);
  void handle_release(const proto::RpcCall& call, std::string& out);
  void refuse(const proto::RpcCall& call, std::string& out, int code, std::string_view reason);

  bool can_open(const proto::RpcCall& call, std::string& out);
  bool is_cluster_call_valid(const proto::RpcCall& call, std::string& out);
  std::optional<CommandRequest> command_request_of(proto::RpcCall& call, std::string& out);
  void open_call(CallId call, int64_t id, std::string_view key = {});

  ClientServer& server_;
  proto::RpcFrames frames_;
  std::string peer_address_;              // where results count against somebody's share
  std::map<int64_t, CallId> open_calls_;  // by the client's id
  bool is_peer_done_ = false;             // the client has ended its stream
  bool has_sent_message_ = false;
  TimePoint active_at_;                     // the last whole message or answer
  std::optional<TimePoint> partial_since_;  // a part of a message has arrived
};

}  // namespace firvalve::net
