// Signals as the loop hears them: a handler may do no more than write a byte, which arrives as on any socket.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <functional>

#include "net/connection.h"

namespace firvalve::net {

// Keeps back what Signals hears until there is one: a signal before that would end the process.
void hold_signals();

// One instance at a time. Also lets writes to ended connections fail with an error instead of a signal.
class Signals : public Connection {
 public:
  Signals(Loop& loop, std::function<void(int)> heard);
  ~Signals() override;

 protected:
  void on_bytes() override;
  void on_end(End) override {}

 private:
  std::function<void(int)> heard_;
  int write_end_ = -1;
};

}  // namespace firvalve::net
