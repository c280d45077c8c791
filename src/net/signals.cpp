#include "net/signals.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>

namespace firvalve::net {

namespace {

constexpr int kHeard[] = {SIGTERM, SIGINT, SIGHUP, SIGUSR1};

volatile sig_atomic_t tell = -1;

void on_signal(int number) {
  const int kept = errno;
  const char byte = static_cast<char>(number);
  [[maybe_unused]] const ssize_t written = ::write(tell, &byte, 1);
  errno = kept;
}

sigset_t heard_set() {
  sigset_t set;
  ::sigemptyset(&set);
  for (const int number : kHeard) ::sigaddset(&set, number);
  return set;
}

Poco::Net::StreamSocket read_end() {
  int ends[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, ends) != 0)
    throw std::runtime_error("no socket pair for signals");
  tell = ends[1];
  return Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(ends[0]));
}

}  // namespace

void hold_signals() {
  const sigset_t set = heard_set();
  ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

Signals::Signals(Loop& loop, std::function<void(int)> heard)
    : Connection(loop, read_end(), Kind::kLocal), heard_(std::move(heard)) {
  write_end_ = tell;
  struct sigaction action {};
  action.sa_handler = on_signal;
  action.sa_flags = SA_RESTART;
  for (const int number : kHeard) ::sigaction(number, &action, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
  const sigset_t set = heard_set();
  ::pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

// Guards the exit against a signal that comes again: it must not end the process before its own end.
Signals::~Signals() {
  for (const int number : kHeard) ::signal(number, SIG_IGN);
  tell = -1;
  ::close(write_end_);
}

void Signals::on_bytes() {
  while (!inbox_.text().empty()) {
    const int number = inbox_.text().front();
    inbox_.used(1);
    heard_(number);
  }
}

}  // namespace firvalve::net
