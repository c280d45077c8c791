// A non-blocking connection from a client to a gateway, with its read and send buffers. Used only on the
// driver's I/O thread.
#pragma once

#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "client/gateway_health.h"
#include "client/scheduler_actions.h"
#include "proto/jsonrpc/reply.h"

namespace firvalve::client {

class Connection {
 public:
  // `poll_set` must outlive the connection. An answer longer than `max_answer_bytes` makes it unreadable.
  Connection(Poco::Net::PollSet& poll_set, size_t max_answer_bytes)
      : poll_set_(poll_set), frames_(max_answer_bytes) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Starts connecting; the poll set reports the socket as writable when done. False: failed at once.
  bool connect(const Poco::Net::SocketAddress& address);
  // Call when the socket first becomes writable. Returns the cause if the connection attempt failed.
  std::optional<LossCause> finish_connect();
  bool is_up() const { return is_up_; }
  std::optional<int> descriptor() const { return descriptor_; }  // empty: connect() has not succeeded

  // Append a message here, then call message_appended().
  std::string& send_buffer() { return send_buffer_; }
  // `attempt`: the request id if the message is an attempt of a call, tracked for unsent_requests().
  void message_appended(size_t bytes, std::optional<RequestId> attempt);
  // Writes as much as the kernel accepts. False: the connection is lost.
  bool flush();
  // Attempts that were not completely handed to the kernel. The gateway cannot have run them.
  std::set<RequestId> unsent_requests() const;

  // Reads the available bytes. Returns the cause if the connection is lost.
  std::optional<LossCause> receive();
  enum class Next { kMessage, kNone, kUnreadable };
  Next next_message(std::span<char>& body);
  void release_read_buffer() { read_buffer_.release_if_empty(); }  // after the last complete message

  bool needs_flush = false;  // set by the driver: has messages appended since the last flush

 private:
  void set_write_interest(bool writing);

  struct MessageEnd {
    uint64_t offset = 0;  // bytes since the connection was opened
    RequestId request = 0;
  };
  Poco::Net::PollSet& poll_set_;
  Poco::Net::StreamSocket socket_;
  std::optional<int> descriptor_;
  bool is_up_ = false, has_write_interest_ = false;
  proto::ReadBuffer read_buffer_;
  proto::RpcFrames frames_;
  std::string send_buffer_;
  size_t send_buffer_sent_bytes_ = 0;           // prefix of send_buffer_ already written
  uint64_t queued_bytes_ = 0, sent_bytes_ = 0;  // since the connection was opened
  std::deque<MessageEnd> unsent_attempts_;      // not known to be completely written, in order
};

}  // namespace firvalve::client
