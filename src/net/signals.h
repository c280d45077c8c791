// Delivers signals as events of the loop (self-pipe trick): the signal handler writes the signal number as
// one byte to a socket pair, whose other end the loop reads like any connection.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <functional>

#include "net/connection.h"

namespace firvalve::net {

// Blocks the signals that Signals handles until a Signals object exists; before that they would end the
// process. Applies to the calling thread and to threads that it starts afterwards.
void block_signals();

// Handles SIGTERM, SIGINT, SIGHUP and SIGUSR1, and ignores SIGPIPE, so that a write to a closed connection
// fails with an error instead. Only one instance may exist at a time: it owns the signal handlers of the
// process and both ends of their pipe. Its destructor sets the signals to be ignored.
class Signals : public Connection {
 public:
  // on_signal is called on the loop's thread. Throws std::runtime_error if the pipe cannot be created.
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
