#include "net/connection.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <sys/socket.h>

#include <cerrno>

namespace firvalve::net {

using namespace Poco::Net;

namespace {
constexpr size_t kReadAtOnce = 16 * 1024;  // bytes: several messages, little for a thousand connections
}

Connection::Connection(Loop& loop, const StreamSocket& up, Kind kind)
    : loop_(loop), socket_(up), client_(kind == Kind::kClient), place_(loop.enter(*this)), up_(true) {
  socket_.setBlocking(false);
  if (kind != Kind::kLocal) socket_.setNoDelay(true);
  loop_.addEventHandler(socket_,
                        Poco::NObserver<Connection, ErrorNotification>(*this, &Connection::on_error));
  want(true, false);
}

Connection::Connection(Loop& loop, const SocketAddress& address) : loop_(loop), place_(loop.enter(*this)) {
  try {
    socket_.connectNB(address);
    socket_.setNoDelay(true);
  } catch (const Poco::Exception&) {
    refused_ = true;
  }
  if (refused_) return;
  loop_.addEventHandler(socket_,
                        Poco::NObserver<Connection, ErrorNotification>(*this, &Connection::on_error));
  want(false, true);
}

Connection::~Connection() { close(); }

void Connection::close() {
  if (!open_) return;
  open_ = false;
  loop_.buffered(buffered_, 0);
  buffered_ = 0;
  loop_.leave(place_);
  if (!refused_) {
    if (reading_)
      loop_.removeEventHandler(
          socket_, Poco::NObserver<Connection, ReadableNotification>(*this, &Connection::on_readable));
    if (writing_)
      loop_.removeEventHandler(
          socket_, Poco::NObserver<Connection, WritableNotification>(*this, &Connection::on_writable));
    loop_.removeEventHandler(socket_,
                             Poco::NObserver<Connection, ErrorNotification>(*this, &Connection::on_error));
  }
  socket_.close();
}

void Connection::account() {
  if (!open_) return;
  const size_t now = inbox_.space() + out_.capacity();
  loop_.buffered(buffered_, now);
  buffered_ = now;
}

bool Connection::quiet() const {
  char byte;
  return ::recv(socket_.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Connection::linger() {
  if (!open_ || lingers_) return;
  lingers_ = true;
  loop_.yield(place_);
  inbox_.used(inbox_.text().size());
  inbox_.rest();
  account();
  want(true, writing_);
  if (unsent() == 0) end_stream();
}

void Connection::end_stream() { ::shutdown(socket_.impl()->sockfd(), SHUT_WR); }

// Bounded a turn: a peer that sends without end must not keep the others waiting.
void Connection::discard() {
  char bytes[kReadAtOnce];
  const ssize_t got = ::recv(socket_.impl()->sockfd(), bytes, sizeof bytes, 0);
  if (got == 0) return ended(End::kClosed);
  if (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) ended(End::kReset);
}

void Connection::abort() {
  if (open_ && up_) {
    const struct ::linger now { 1, 0 };
    ::setsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  close();
}

void Connection::want(bool read, bool write) {
  const Poco::NObserver<Connection, ReadableNotification> reader(*this, &Connection::on_readable);
  const Poco::NObserver<Connection, WritableNotification> writer(*this, &Connection::on_writable);
  if (read != reading_)
    read ? loop_.addEventHandler(socket_, reader) : loop_.removeEventHandler(socket_, reader);
  if (write != writing_)
    write ? loop_.addEventHandler(socket_, writer) : loop_.removeEventHandler(socket_, writer);
  // Guards against a whole core spent on sockets that are always writable: the reactor (POCO 1.11) goes on
  // asking for what a removed handler wanted until a handler, even one it has, is added.
  if ((reading_ && !read) || (writing_ && !write))
    loop_.addEventHandler(socket_,
                          Poco::NObserver<Connection, ErrorNotification>(*this, &Connection::on_error));
  reading_ = read;
  writing_ = write;
}

void Connection::read_on(bool on) {
  if (open_ && up_) want(on, writing_);
}

int Connection::socket_error() {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

void Connection::ended(End end) {
  if (!open_) return;
  close();
  on_end(end);
}

void Connection::on_error(const Poco::AutoPtr<ErrorNotification>&) {
  if (!open_) return;
  if (!up_) return ended(socket_error() == ECONNREFUSED ? End::kRefused : End::kReset);
  // What came before the reset is still read.
  ready();
  if (open_ && socket_error() != 0) ended(End::kReset);
}

void Connection::on_writable(const Poco::AutoPtr<WritableNotification>&) {
  if (!open_) return;
  if (!up_) {
    if (const int error = socket_error()) return ended(error == ECONNREFUSED ? End::kRefused : End::kReset);
    up_ = true;
    want(true, false);
    on_up();
    if (!open_) return;
  }
  flush();
}

void Connection::ready() {
  if (!open_) return;
  if (!up_) return;
  if (lingers_) return discard();
  const auto room = inbox_.room(kReadAtOnce);
  const ssize_t got = ::recv(socket_.impl()->sockfd(), room.data(), room.size(), 0);
  if (got > 0) {
    inbox_.filled(static_cast<size_t>(got));
    loop_.touch(place_);
    on_bytes();
    if (!open_) return;
    inbox_.rest();
    account();
  } else if (got == 0) {
    if (half_open()) return want(false, writing_);
    ended(End::kClosed);
  } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
    ended(End::kReset);
  }
}

void Connection::write(std::string_view bytes) {
  if (!open_) return;
  out_ += bytes;
  if (up_ && !writing_) flush();
  account();
}

void Connection::flush() {
  while (open_ && out_sent_ < out_.size()) {
    const ssize_t sent =
        ::send(socket_.impl()->sockfd(), out_.data() + out_sent_, out_.size() - out_sent_, MSG_NOSIGNAL);
    if (sent >= 0) {
      if (!lingers_) loop_.touch(place_);
      out_sent_ += static_cast<size_t>(sent);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      // The end is told by the reactor's next turn, never within the call that writes.
      want(true, false);
      return;
    }
  }
  if (!open_) return;
  const bool all = out_sent_ == out_.size();
  if (all) {
    const bool waited = writing_;
    std::string().swap(out_);
    out_sent_ = 0;
    account();
    if (waited) want(reading_, false);
    if (lingers_) return end_stream();
    if (waited) on_written();
  } else if (!writing_) {
    want(reading_, true);
  }
}

}  // namespace firvalve::net
