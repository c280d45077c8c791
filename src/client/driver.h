// Sockets and threads of a client. All decisions are made by the request scheduler; the driver feeds it
// events and executes its actions.
//
// Threads. The public functions may be called from any thread. The I/O thread owns the scheduler, the
// connections and the calls in flight; it runs no user code. The callback thread runs the user's callbacks
// and log function. Both threads keep the driver alive until they end.
#pragma once

#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "client/call_state.h"
#include "client/callback_thread.h"
#include "client/client.h"
#include "client/connection.h"
#include "client/request_scheduler.h"

namespace firvalve::client {

class Driver : public std::enable_shared_from_this<Driver> {
 public:
  // Expects checked options. Throws std::invalid_argument if an address cannot be resolved.
  explicit Driver(Options options);

  void start();
  void submit(const CallStatePtr& call);
  void cancel(const CallStatePtr& call);
  // close() and stop() implement Client::close() and Client::~Client().
  size_t close(Duration timeout);
  void stop();

  std::optional<GatewayIndex> find_gateway(const std::string& address) const;
  Stats stats() const;

 private:
  // A request from a user's thread to the I/O thread.
  struct CallOperation {
    enum class Kind { kStart, kCancel } kind = Kind::kStart;
    CallStatePtr call;
  };
  struct ConnectionLoss {
    ConnectionId connection{};
    LossCause cause = LossCause::kReset;
  };
  using Connections = std::unordered_map<ConnectionId, Connection>;

  void wake();
  void handle_call_closed();
  void count_closed_call();  // requires mutex_

  // On the I/O thread.
  void run();
  void execute(TimePoint now, const CallOperation& operation);
  void cancel_all(TimePoint now);
  void decide(TimePoint now);
  void publish_stats();
  void wait_for_events();
  void handle_socket(TimePoint now, ConnectionId id, int events);
  void receive(TimePoint now, ConnectionId id, Connection& connection);
  bool handle_message(TimePoint now, ConnectionId id, std::span<char> body);
  void flush(ConnectionId id, Connection& connection);
  void flush_pending();
  void report_losses(TimePoint now);
  void erase(Connections::iterator connection);
  // Marks a connection for flushing and returns it so that a message can be appended; null: it has been lost.
  Connection* mark_for_flush(ConnectionId id);

  void execute(const Connect& action);
  void execute(const CloseConnection& action);
  void execute(const SendAttempt& action);
  void execute(const SendRevoke& action);
  void execute(const SendHeartbeat& action);
  void execute(const EndCall& action);
  void execute(const LogGatewayChange& action);
  void append_attempt(std::string& out, const SendAttempt& action) const;

  const Options options_;
  std::vector<Poco::Net::SocketAddress> addresses_;  // of the gateways, by GatewayIndex
  std::thread io_thread_;
  CallbackThread callback_thread_;
  // An eventfd, wrapped as a socket because the poll set takes only sockets.
  Poco::Net::StreamSocket wake_event_;

  mutable std::mutex mutex_;  // guards the members below
  std::vector<CallOperation> operations_;
  bool is_closed_ = false, must_cancel_all_ = false, is_stopping_ = false;
  size_t open_calls_ = 0;  // a call is open until its callback has returned
  uint64_t refused_at_submit_ = 0;
  uint64_t last_call_ = 0;
  Stats stats_;
  std::condition_variable all_calls_closed_;

  // Used only on the I/O thread.
  RequestScheduler scheduler_;
  Actions actions_;
  std::unordered_map<CallId, CallStatePtr> calls_;
  Poco::Net::PollSet poll_set_;
  Connections connections_;
  std::unordered_map<int, ConnectionId> connections_by_descriptor_;
  std::vector<ConnectionLoss> unreported_losses_;    // not yet reported to the scheduler
  std::vector<ConnectionId> unflushed_connections_;  // have messages to flush
};

}  // namespace firvalve::client
