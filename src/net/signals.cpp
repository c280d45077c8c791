#include "net/signals.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <stdexcept>

namespace firvalve::net {

namespace {

constexpr int kHandledSignals[] = {SIGTERM, SIGINT, SIGHUP, SIGUSR1};
constexpr int kNoDescriptor = -1;

// The write end of the pipe of the current Signals instance. Global, since a signal handler receives only the
// signal number.
std::atomic<int> handler_write_end = kNoDescriptor;
static_assert(std::atomic<int>::is_always_lock_free, "a signal handler may use lock-free atomics alone");

void write_signal_number(int signal_number) {
  const int saved_errno = errno;
  const char byte = static_cast<char>(signal_number);
  [[maybe_unused]] const ssize_t written = ::write(handler_write_end, &byte, 1);
  errno = saved_errno;
}

sigset_t handled_set() {
  sigset_t set;
  ::sigemptyset(&set);
  for (const int signal_number : kHandledSignals) ::sigaddset(&set, signal_number);
  return set;
}

}  // namespace

void block_signals() {
  const sigset_t set = handled_set();
  ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

Signals::Pipe Signals::open_pipe() {
  int ends[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, ends) != 0)
    throw std::runtime_error("cannot create the socket pair for signals");
  return {ends[0], ends[1]};
}

Signals::Signals(Loop& loop, std::function<void(int signal_number)> on_signal)
    : Signals(loop, std::move(on_signal), open_pipe()) {}

Signals::Signals(Loop& loop, std::function<void(int signal_number)> on_signal, const Pipe& pipe)
    : Connection(loop, Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(pipe.read_end)), Kind::kLocal),
      on_signal_(std::move(on_signal)),
      write_end_(pipe.write_end) {
  handler_write_end = write_end_;
  struct sigaction action {};
  action.sa_handler = write_signal_number;
  action.sa_flags = SA_RESTART;
  for (const int signal_number : kHandledSignals) ::sigaction(signal_number, &action, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
  const sigset_t set = handled_set();
  ::pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

// Guards the shutdown against a repeated signal, whose default action would end the process early.
Signals::~Signals() {
  for (const int signal_number : kHandledSignals) ::signal(signal_number, SIG_IGN);
  handler_write_end = kNoDescriptor;
  ::close(write_end_);
}

void Signals::on_bytes() {
  while (!read_buffer_.text().empty()) {
    const int signal_number = read_buffer_.text().front();
    read_buffer_.consume(1);
    on_signal_(signal_number);
  }
}

}  // namespace firvalve::net
