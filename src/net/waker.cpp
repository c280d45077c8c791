#include "net/waker.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace firvalve::net {

namespace {

struct SocketPair {
  SocketPair() {
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, ends) != 0)
      throw std::runtime_error("cannot create the socket pair that wakes the event loop");
  }
  int ends[2];
};

}  // namespace

Waker::Waker(Loop& loop, std::function<void()> on_wake)
    : Waker(loop, std::move(on_wake), SocketPair().ends) {}

Waker::Waker(Loop& loop, std::function<void()> on_wake, const int (&ends)[2])
    : Connection(loop, Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(ends[0])), Kind::kLocal),
      on_wake_(std::move(on_wake)),
      write_end_(ends[1]) {}

Waker::~Waker() { ::close(write_end_); }

void Waker::wake() {
  const char byte = 1;
  [[maybe_unused]] const ssize_t n = ::send(write_end_, &byte, 1, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void Waker::on_bytes() {
  read_buffer_.consume(read_buffer_.text().size());
  if (on_wake_) on_wake_();
}

}  // namespace firvalve::net
