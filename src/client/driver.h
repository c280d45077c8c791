// The I/O of a client: sockets and threads around the request scheduler, which decides everything.
//
// Threads. The public functions may be called from any thread. The I/O thread owns the scheduler, the
// connections and the calls in flight; it runs none of the user's code. The callback thread runs the user's
// callbacks and log lines. Both keep the driver alive until they end.
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
  // The options are checked. Throws std::invalid_argument for an address that cannot be resolved.
  explicit Driver(Options options);

  void start();
  void submit(const CallStatePtr& call);
  void cancel(const CallStatePtr& call);
  // See Client::close() and the destructor of Client.
  size_t close(Duration timeout);
  void stop();

  std::optional<GatewayIndex> find_gateway(const std::string& address) const;
  Stats stats() const;

 private:
  // From a user's thread to the I/O thread.
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
  void count_closed_call();  // under the lock

  // The I/O thread's.
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
  // Where the message of an action is appended; null: the connection is gone.
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
  std::vector<Poco::Net::SocketAddress> addresses_;  // of the gateways, in order
  std::thread io_thread_;
  CallbackThread callback_thread_;
  Poco::Net::StreamSocket wake_event_;  // an eventfd, which the poll set understands as a socket

  mutable std::mutex mutex_;  // guards what follows
  std::vector<CallOperation> operations_;
  bool is_closed_ = false, must_cancel_all_ = false, is_stopping_ = false;
  size_t open_calls_ = 0;  // a call is open until its callback has returned
  uint64_t refused_at_submit_ = 0;
  uint64_t last_call_ = 0;
  Stats stats_;
  std::condition_variable all_calls_closed_;

  // The I/O thread's.
  RequestScheduler scheduler_;
  Actions actions_;
  std::unordered_map<CallId, CallStatePtr> calls_;
  Poco::Net::PollSet poll_set_;
  Connections connections_;
  std::unordered_map<int, ConnectionId> connections_by_descriptor_;
  std::vector<ConnectionLoss> unreported_losses_;    // found and not reported to the scheduler yet
  std::vector<ConnectionId> unflushed_connections_;  // with messages that are not flushed yet
};

}  // namespace firvalve::client
