// Signals as events of the loop: the handler writes one byte to a pipe of the loop's (self-pipe), which
// arrives as bytes do on any connection.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <functional>

#include "net/connection.h"

namespace firvalve::net {

// Blocks the signals that Signals handles until there is one: before that they would end the process. For the
// calling thread, and those that it starts from then on.
void block_signals();

// Handles SIGTERM, SIGINT, SIGHUP and SIGUSR1, and ignores SIGPIPE: writes to closed connections fail with an
// error. One instance at a time: it owns the process's handlers and both ends of their pipe. After its end
// the signals are ignored.
class Signals : public Connection {
 public:
  // on_signal is called on the loop's thread. Throws std::runtime_error where no descriptor is left.
  Signals(Loop& loop, std::function<void(int signal_number)> on_signal);
  ~Signals() override;

 protected:
  void on_bytes() override;
  void on_end(End) override {}

 private:
  struct Pipe {
    int read_end = -1, write_end = -1;
  };
  Signals(Loop& loop, std::function<void(int signal_number)> on_signal, const Pipe& pipe);
  static Pipe open_pipe();

  std::function<void(int signal_number)> on_signal_;
  const int write_end_;
};

}  // namespace firvalve::net
