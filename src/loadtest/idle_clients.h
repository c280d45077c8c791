// Idle client connections to a gateway: each one sends a single heartbeat request and nothing after it.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <string>
#include <vector>

namespace firvalve::loadtest {

// A set of idle connections that stay open for the lifetime of the object.
class IdleClients {
 public:
  // Opens `count` connections to `gateway`. Throws ScaleError if one is refused or its heartbeat is not
  // answered.
  IdleClients(const std::string& gateway, int count);
  // Counts the connections that the gateway has not closed. It closes a connection that has been idle for
  // proto::kRpcIdleTimeout.
  int still_open() const;

 private:
  std::vector<Poco::Net::StreamSocket> sockets_;
};

}  // namespace firvalve::loadtest
