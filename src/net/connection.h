// A non-blocking stream connection on an event loop: buffered input and output, and the reporting of its end.
// Owns the descriptor.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <string>
#include <string_view>

#include "net/loop.h"
#include "proto/read_buffer.h"

namespace firvalve::net {

// Must be used on the loop's thread only. Subclasses parse the input and handle the end of the connection.
class Connection {
 public:
  enum class End { kClosed, kReset, kRefused };
  enum class EvictionReason { kDescriptorLimit, kMemoryLimit };

  enum class Kind { kTcp, kClient, kLocal };

  Connection(Loop& loop, const Poco::Net::StreamSocket& accepted, Kind kind = Kind::kTcp);
  Connection(Loop& loop, const Poco::Net::SocketAddress& address);  // connects
  virtual ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool is_from_client() const { return is_from_client_; }
  virtual bool is_evictable() const { return false; }  // nothing in progress depends on the connection
  virtual void evict(EvictionReason) {}                // closes the connection to free its resources
  // The peer is in the middle of a message. Such a connection is evicted after those at rest.
  virtual bool is_receiving_message() const { return false; }
  size_t buffered_bytes() const { return buffered_bytes_; }
  // The peer has sent a part of a message, which discard_incomplete_message() can drop. The connection and
  // the calls that are open on it go on, unless the request could not be told from others.
  virtual bool can_discard_message() const { return false; }
  virtual void discard_incomplete_message() {}

  void write(std::string_view bytes);  // buffers what the socket does not accept at once
  size_t unsent_bytes() const { return output_.size() - output_sent_; }
  bool is_connected() const { return is_connected_; }
  bool is_open() const { return is_open_; }
  // The connect failed within the constructor. on_end() is not called; the owner must close the connection.
  bool was_refused() const { return was_refused_; }
  void set_reading(bool on);
  void close();  // without calling on_end()
  // Starts a lingering close: buffered output is still sent, followed by the end of the stream; input is
  // discarded. Guards answers against the TCP reset that close() sends if input is unread. on_end() reports
  // when the peer closes; until then the descriptor stays open, so the owner must bound the time.
  void start_lingering_close();
  bool is_lingering() const { return is_lingering_; }
  // The peer has closed its sending direction or the connection, also if unread bytes precede the end.
  bool has_peer_ended() const;
  bool has_nothing_to_read() const;  // neither unread bytes nor the end of the stream wait in the socket
  void abort();  // close() with a TCP reset: unsent data in the kernel's send buffer is dropped

 protected:
  virtual void on_connected() {}
  virtual void on_bytes() = 0;  // new bytes were added to read_buffer_
  virtual void on_written() {}  // all buffered output has been sent
  // Called at most once, after the connection was closed. Not called for an end of the peer's stream if
  // keeps_half_open() returns true.
  virtual void on_end(End end) = 0;
  virtual bool keeps_half_open() { return false; }  // keep the write side open after the peer's half-close

  void drop_input();  // frees the read buffer
  // The last read took as much as it could, so that more may wait.
  bool may_have_more_input() const { return may_have_more_input_; }

  Loop& loop_;
  proto::ReadBuffer read_buffer_;

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) { read_available(); }
  void on_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void on_error(const Poco::AutoPtr<Poco::Net::ErrorNotification>&);
  void read_available();
  bool buffer_input(std::string_view bytes);
  bool finish_connecting();
  void flush();
  void on_flushed();
  void free_sent_output();
  void discard_input();
  void end_stream();
  void update_buffered_bytes();
  void set_interest(bool read, bool write);
  void close_and_report(End end);
  int socket_error();

  Poco::Net::StreamSocket socket_;
  std::string output_;
  size_t output_sent_ = 0, buffered_bytes_ = 0;
  const bool is_from_client_ = false;
  Loop::Entry entry_;
  bool is_connected_ = false, is_open_ = true, is_reading_ = false, is_writing_ = false;
  bool was_refused_ = false, is_lingering_ = false, may_have_more_input_ = false;
};

}  // namespace firvalve::net
