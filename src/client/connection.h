// One connection of a client to a gateway: its socket and what waits to be read and written. Non-blocking.
// The driver's I/O thread only.
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
  // `poll_set` must outlive the connection. Answers longer than `max_answer_bytes` are not read.
  Connection(Poco::Net::PollSet& poll_set, size_t max_answer_bytes)
      : poll_set_(poll_set), frames_(max_answer_bytes) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Begins to connect; the poll set reports when the socket can be written. False: refused at once.
  bool connect(const Poco::Net::SocketAddress& address);
  // The socket can be written for the first time. Gives the reason if it could not be connected.
  std::optional<LossCause> finish_connect();
  bool is_up() const { return is_up_; }
  std::optional<int> descriptor() const { return descriptor_; }  // nothing: connect() has not succeeded

  // Where messages are appended to, before message_appended().
  std::string& send_buffer() { return send_buffer_; }
  // `attempt`: the message is an attempt of a call, of which unsent_requests() tells.
  void message_appended(size_t bytes, std::optional<RequestId> attempt);
  // Writes as much as the system takes. False: the connection is lost.
  bool flush();
  // Attempts of which the system has not taken every byte.
  std::set<RequestId> unsent_requests() const;

  // Reads what is there. Gives the reason if the connection is lost.
  std::optional<LossCause> receive();
  enum class Next { kMessage, kNone, kUnreadable };
  Next next_message(std::span<char>& body);
  void release_read_buffer() { read_buffer_.release_if_empty(); }  // all complete ones: frees what they took

  bool needs_flush = false;  // the driver's mark: it is to be flushed in this turn

 private:
  void set_write_interest(bool writing);

  struct MessageEnd {
    uint64_t offset = 0;  // in bytes since the connection was made
    RequestId request = 0;
  };
  Poco::Net::PollSet& poll_set_;
  Poco::Net::StreamSocket socket_;
  std::optional<int> descriptor_;
  bool is_up_ = false, has_write_interest_ = false;
  proto::ReadBuffer read_buffer_;
  proto::RpcFrames frames_;
  std::string send_buffer_;
  size_t send_buffer_sent_bytes_ = 0;           // bytes of send_buffer_ that the system took
  uint64_t queued_bytes_ = 0, sent_bytes_ = 0;  // since the connection was made
  std::deque<MessageEnd> unsent_attempts_;      // that are not known to have been sent, in order
};

}  // namespace firvalve::client
