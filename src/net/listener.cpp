#include "net/listener.h"

#include <Poco/NObserver.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>

#include <cerrno>

namespace firvalve::net {

namespace {

constexpr int kMaxAcceptsPerTurn = 64;  // bounds the delay for connections that are open already
constexpr int kBacklog = 1024;

bool is_out_of_resources(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

}  // namespace

Listener::Listener(Loop& loop, bool for_clients, AcceptHandler on_accept)
    : loop_(loop), for_clients_(for_clients), on_accept_(std::move(on_accept)) {}

Listener::~Listener() { pause(); }

void Listener::set_accepting(bool on) {
  const Poco::NObserver<Listener, Poco::Net::ReadableNotification> observer(*this, &Listener::on_readable);
  if (on != is_accepting_)
    on ? loop_.addEventHandler(socket_, observer) : loop_.removeEventHandler(socket_, observer);
  is_accepting_ = on;
}

void Listener::listen(const std::string& address) {
  socket_.bind(Poco::Net::SocketAddress(address), true);
  socket_.listen(kBacklog);
  socket_.setBlocking(false);
  resume();
}

void Listener::close() { socket_.close(); }

void Listener::accept_pending() {
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    // Guards against a busy loop on connections for which no descriptor is available: they wait in the
    // kernel's accept queue until resume().
    if (!loop_.reserve_descriptor(for_clients_)) return pause();
    const int descriptor =
        ::accept4(socket_.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      if (is_out_of_resources(errno)) pause();
      return;
    }
    on_accept_(Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptor)));
  }
}

}  // namespace firvalve::net
