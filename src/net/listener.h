// A listening socket with its accept loop.
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

  // for_clients: which share of the loop's descriptors the connections count against
  // (Loop::reserve_descriptor()). The accepted sockets are non-blocking and closed on exec. The loop outlives
  // this.
  Listener(Loop& loop, bool for_clients, AcceptHandler on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void listen(const std::string& address);  // HOST:PORT; throws Poco::Exception where it cannot
  // Accepting stops by itself while no descriptor is to be had: connections wait in the system's queue until
  // resume().
  void resume() { set_accepting(true); }
  void pause() { set_accepting(false); }
  // Accepts what waits in the system's queue, at most kMaxAcceptsPerTurn connections.
  void accept_pending();
  void close();  // what was not accepted is reset

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
