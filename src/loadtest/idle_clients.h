// Connections of clients that have asked for a heartbeat once and then say nothing.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <string>
#include <vector>

namespace firvalve::loadtest {

class IdleClients {
 public:
  // Throws ScaleError where one is refused, or isn't answered.
  IdleClients(const std::string& gateway, int count);
  // The gateway ends connections that have been idle for proto::kRpcIdleTimeout.
  int still_open() const;

 private:
  std::vector<Poco::Net::StreamSocket> sockets_;
};

}  // namespace firvalve::loadtest
