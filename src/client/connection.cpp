// Non-blocking socket I/O of one connection to a gateway.
#include "client/connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>

#include <cerrno>

namespace firvalve::client {
namespace {

using Poco::Net::PollSet;

constexpr size_t kReadBytes = size_t{64} * 1024;  // per recv(); a larger empty send buffer is freed

}  // namespace

Connection::~Connection() {
  if (descriptor_) poll_set_.remove(socket_);
  socket_.close();
}

bool Connection::connect(const Poco::Net::SocketAddress& address) {
  try {
    socket_.connectNB(address);
    socket_.setNoDelay(true);
    descriptor_ = socket_.impl()->sockfd();
    poll_set_.add(socket_, PollSet::POLL_WRITE | PollSet::POLL_ERROR);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

std::optional<LossCause> Connection::finish_connect() {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(*descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
  if (error != 0) return error == ECONNREFUSED ? LossCause::kRefused : LossCause::kConnectTimeout;
  is_up_ = true;
  poll_set_.update(socket_, PollSet::POLL_READ | PollSet::POLL_ERROR);
  return std::nullopt;
}

void Connection::set_write_interest(bool writing) {
  if (has_write_interest_ == writing) return;
  has_write_interest_ = writing;
  const int events = PollSet::POLL_READ | PollSet::POLL_ERROR;
  poll_set_.update(socket_, writing ? events | PollSet::POLL_WRITE : events);
}

void Connection::message_appended(size_t bytes, std::optional<RequestId> attempt) {
  queued_bytes_ += bytes;
  if (attempt) unsent_attempts_.push_back({queued_bytes_, *attempt});
}

bool Connection::flush() {
  while (send_buffer_sent_bytes_ < send_buffer_.size()) {
    const ssize_t sent = ::send(*descriptor_, send_buffer_.data() + send_buffer_sent_bytes_,
                                send_buffer_.size() - send_buffer_sent_bytes_, MSG_NOSIGNAL);
    if (sent >= 0) {
      send_buffer_sent_bytes_ += static_cast<size_t>(sent);
      sent_bytes_ += static_cast<uint64_t>(sent);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      set_write_interest(true);
      break;
    } else if (errno != EINTR) {
      return false;
    }
  }
  while (!unsent_attempts_.empty() && unsent_attempts_.front().offset <= sent_bytes_)
    unsent_attempts_.pop_front();
  if (send_buffer_sent_bytes_ == send_buffer_.size()) {
    send_buffer_.clear();
    if (send_buffer_.capacity() > kReadBytes) std::string().swap(send_buffer_);
    send_buffer_sent_bytes_ = 0;
    set_write_interest(false);
  }
  return true;
}

std::set<RequestId> Connection::unsent_requests() const {
  std::set<RequestId> requests;
  for (const MessageEnd& attempt : unsent_attempts_)
    if (attempt.offset > sent_bytes_) requests.insert(attempt.request);
  return requests;
}

std::optional<LossCause> Connection::receive() {
  const auto space = read_buffer_.prepare(kReadBytes);
  const ssize_t got = ::recv(*descriptor_, space.data(), space.size(), 0);
  if (got > 0) {
    read_buffer_.commit(static_cast<size_t>(got));
    return std::nullopt;
  }
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return std::nullopt;
  return got == 0 ? LossCause::kClosed : LossCause::kReset;
}

Connection::Next Connection::next_message(std::span<char>& body) {
  switch (frames_.next(read_buffer_, body)) {
    case proto::ReadResult::kIncomplete:
      return Next::kNone;
    case proto::ReadResult::kMalformed:
      return Next::kUnreadable;
    default:
      return Next::kMessage;
  }
}

}  // namespace firvalve::client
