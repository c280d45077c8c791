#include "net/connection.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace firvalve::net {

using namespace Poco::Net;

Connection::Connection(Loop& loop, const StreamSocket& accepted, Kind kind)
    : loop_(loop),
      socket_(accepted),
      is_from_client_(kind == Kind::kClient),
      entry_(loop.add_connection(*this)),
      is_connected_(true) {
  socket_.setBlocking(false);
  if (kind != Kind::kLocal) socket_.setNoDelay(true);
  loop_.addEventHandler(socket_,
                        Poco::NObserver<Connection, ErrorNotification>(*this, &Connection::on_error));
  set_interest(true, false);
}

Connection::Connection(Loop& loop, const SocketAddress& address)
    : loop_(loop), entry_(loop.add_connection(*this)) {
  try {
    socket_.connectNB(address);
    socket_.setNoDelay(true);
  } catch (const Poco::Exception&) {
    was_refused_ = true;
  }
  if (was_refused_) return;
  loop_.addEventHandler(socket_,
                        Poco::NObserver<Connection, ErrorNotification>(*this, &Connection::on_error));
  set_interest(false, true);
}

Connection::~Connection() { close(); }

void Connection::close() {
  if (!is_open_) return;
  is_open_ = false;
  loop_.update_buffered_bytes(buffered_bytes_, 0);
  buffered_bytes_ = 0;
  loop_.remove_connection(entry_);
  if (!was_refused_) {
    if (is_reading_)
      loop_.removeEventHandler(
          socket_, Poco::NObserver<Connection, ReadableNotification>(*this, &Connection::on_readable));
    if (is_writing_)
      loop_.removeEventHandler(
          socket_, Poco::NObserver<Connection, WritableNotification>(*this, &Connection::on_writable));
    loop_.removeEventHandler(socket_,
                             Poco::NObserver<Connection, ErrorNotification>(*this, &Connection::on_error));
  }
  socket_.close();
}

void Connection::update_buffered_bytes() {
  if (!is_open_) return;
  const size_t bytes_now = read_buffer_.capacity() + output_.capacity();
  loop_.update_buffered_bytes(buffered_bytes_, bytes_now);
  buffered_bytes_ = bytes_now;
}

bool Connection::has_nothing_to_read() const {
  char byte;
  return ::recv(socket_.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool Connection::has_peer_ended() const {
  constexpr short kEnds = POLLRDHUP | POLLHUP | POLLERR;
  pollfd descriptor{socket_.impl()->sockfd(), POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & kEnds) != 0;
}

void Connection::start_lingering_close() {
  if (!is_open_ || is_lingering_) return;
  is_lingering_ = true;
  loop_.mark_least_recently_active(entry_);
  drop_input();
  set_interest(true, is_writing_);
  if (unsent_bytes() == 0) end_stream();
}

void Connection::drop_input() {
  read_buffer_.clear();
  update_buffered_bytes();
}

void Connection::end_stream() { ::shutdown(socket_.impl()->sockfd(), SHUT_WR); }

// Reads once per turn, so that a peer that never stops sending does not starve other connections.
void Connection::discard_input() {
  const std::span<char> space = loop_.read_space();
  const ssize_t got = ::recv(socket_.impl()->sockfd(), space.data(), space.size(), 0);
  if (got == 0) return close_and_report(End::kClosed);
  if (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) close_and_report(End::kReset);
}

void Connection::abort() {
  if (is_open_ && is_connected_) {
    const struct ::linger reset { 1, 0 };
    ::setsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  close();
}

void Connection::set_interest(bool read, bool write) {
  const Poco::NObserver<Connection, ReadableNotification> reader(*this, &Connection::on_readable);
  const Poco::NObserver<Connection, WritableNotification> writer(*this, &Connection::on_writable);
  if (read != is_reading_)
    read ? loop_.addEventHandler(socket_, reader) : loop_.removeEventHandler(socket_, reader);
  if (write != is_writing_)
    write ? loop_.addEventHandler(socket_, writer) : loop_.removeEventHandler(socket_, writer);
  // Guards against a busy loop on sockets that are always writable: after the removal of a handler, the
  // reactor (POCO 1.11) keeps polling for its events until some handler, even a registered one, is added.
  if ((is_reading_ && !read) || (is_writing_ && !write))
    loop_.addEventHandler(socket_,
                          Poco::NObserver<Connection, ErrorNotification>(*this, &Connection::on_error));
  is_reading_ = read;
  is_writing_ = write;
}

void Connection::set_reading(bool on) {
  if (is_open_ && is_connected_) set_interest(on, is_writing_);
}

int Connection::socket_error() {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

void Connection::close_and_report(End end) {
  if (!is_open_) return;
  close();
  on_end(end);
}

void Connection::on_error(const Poco::AutoPtr<ErrorNotification>&) {
  if (!is_open_) return;
  if (!is_connected_) return close_and_report(socket_error() == ECONNREFUSED ? End::kRefused : End::kReset);
  // Reads the input that arrived before the reset.
  read_available();
  if (is_open_ && socket_error() != 0) close_and_report(End::kReset);
}

void Connection::on_writable(const Poco::AutoPtr<WritableNotification>&) {
  if (!is_open_) return;
  if (!is_connected_ && !finish_connecting()) return;
  flush();
}

// Returns false if the connect failed or on_connected() closed the connection.
bool Connection::finish_connecting() {
  if (const int error = socket_error()) {
    close_and_report(error == ECONNREFUSED ? End::kRefused : End::kReset);
    return false;
  }
  is_connected_ = true;
  set_interest(true, false);
  on_connected();
  return is_open_;
}

void Connection::read_available() {
  if (!is_open_) return;
  if (!is_connected_) return;
  if (is_lingering_) return discard_input();
  const std::span<char> space = loop_.read_space();
  const ssize_t got = ::recv(socket_.impl()->sockfd(), space.data(), space.size(), 0);
  if (got > 0) {
    loop_.mark_active(entry_);
    may_have_more_input_ = static_cast<size_t>(got) == space.size();
    if (!buffer_input({space.data(), static_cast<size_t>(got)})) return;
    on_bytes();
    if (!is_open_) return;
    read_buffer_.release_unused();
    update_buffered_bytes();
  } else if (got == 0) {
    if (keeps_half_open()) return set_interest(false, is_writing_);
    close_and_report(End::kClosed);
  } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
    close_and_report(End::kReset);
  }
}

// Returns false if the connection gave up its buffers itself and reads no further message.
bool Connection::buffer_input(std::string_view bytes) {
  loop_.make_room(read_buffer_.growth(bytes.size()));
  if (!is_open_ || is_lingering_) return false;
  read_buffer_.append(bytes);
  update_buffered_bytes();
  return true;
}

void Connection::write(std::string_view bytes) {
  if (!is_open_) return;
  output_ += bytes;
  if (is_connected_ && !is_writing_) flush();
  update_buffered_bytes();
}

void Connection::flush() {
  while (is_open_ && output_sent_ < output_.size()) {
    const ssize_t sent = ::send(socket_.impl()->sockfd(), output_.data() + output_sent_,
                                output_.size() - output_sent_, MSG_NOSIGNAL);
    if (sent >= 0) {
      if (!is_lingering_) loop_.mark_active(entry_);
      output_sent_ += static_cast<size_t>(sent);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      // The error is reported by the reactor in its next turn, never from within write().
      set_interest(true, false);
      return;
    }
  }
  if (!is_open_) return;
  if (output_sent_ == output_.size()) return on_flushed();
  free_sent_output();
  if (!is_writing_) set_interest(is_reading_, true);
}

// A peer that reads steadily may never let the buffer run empty. Moves each byte at most once per byte sent.
void Connection::free_sent_output() {
  if (output_sent_ < unsent_bytes()) return;
  output_.erase(0, output_sent_);
  output_sent_ = 0;
}

void Connection::on_flushed() {
  const bool was_buffered = is_writing_;
  std::string().swap(output_);
  output_sent_ = 0;
  update_buffered_bytes();
  if (was_buffered) set_interest(is_reading_, false);
  if (is_lingering_) return end_stream();
  if (was_buffered) on_written();
}

}  // namespace firvalve::net
