// A listening socket and its accept loop.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <string>

#include "net/loop.h"

namespace firvalve::net {

class Listener {
 public:
  using AcceptHandler = std::function<void(const Poco::Net::StreamSocket& accepted)>;

  // for_clients: whether the accepted connections count as client connections
  // (Loop::reserve_descriptor()). The accepted sockets are non-blocking and close-on-exec. The loop must
  // outlive the listener.
  Listener(Loop& loop, bool for_clients, AcceptHandler on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void listen(const std::string& address);  // HOST:PORT; throws Poco::Exception on failure
  // Starts accepting. The listener pauses itself when no descriptor is available; new connections then wait
  // in the kernel's accept queue until resume() is called again.
  void resume() { set_accepting(true); }
  void pause() { set_accepting(false); }
  // Accepts connections from the kernel's accept queue, at most kMaxAcceptsPerTurn.
  void accept_pending();
  void close();  // resets connections that were not accepted yet

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) { accept_pending(); }
  void set_accepting(bool on);

  Loop& loop_;
  const bool for_clients_;
  AcceptHandler on_accept_;
  Poco::Net::ServerSocket socket_;
  bool is_accepting_ = false;
};

}  // namespace firvalve::net
