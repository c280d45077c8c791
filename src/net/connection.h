// One non-blocking stream connection: bytes in, bytes out, and its end. It owns the descriptor.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <string>

#include "net/loop.h"
#include "proto/read_buffer.h"

namespace firvalve::net {

// The loop's thread alone. A subclass says what is read and what the end means.
class Connection {
 public:
  enum class End { kClosed, kReset, kRefused };

  enum class Kind { kTcp, kClient, kLocal };

  Connection(Loop& loop, const Poco::Net::StreamSocket& accepted, Kind kind = Kind::kTcp);
  Connection(Loop& loop, const Poco::Net::SocketAddress& address);  // connects
  virtual ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool is_from_client() const { return is_from_client_; }
  virtual bool is_evictable() const { return false; }  // nothing depends on it: it may be closed to make room
  virtual void evict() {}                              // closes it, to make room
  size_t buffered_bytes() const { return buffered_bytes_; }

  void write(std::string_view bytes);  // what the socket does not take at once is buffered
  size_t unsent_bytes() const { return output_.size() - output_sent_; }
  bool is_connected() const { return is_connected_; }
  bool is_open() const { return is_open_; }
  // The connect failed at once. on_end() is not called for it: the owner closes the connection.
  bool was_refused() const { return was_refused_; }
  void set_reading(bool on);
  void close();  // without calling on_end()
  // Starts a lingering close: what was written still goes out, then the end of the stream; what arrives is
  // discarded. Guards answers against the reset that a close over unread bytes sends. on_end() reports the
  // peer's end; until then the descriptor is held, and the owner must close it in bounded time.
  void start_lingering_close();
  bool is_lingering() const { return is_lingering_; }
  bool has_nothing_to_read() const;  // nothing has arrived that was not read, not even the peer's end
  void abort();  // as close(), with a reset: what the peer has not received yet never reaches it

 protected:
  virtual void on_connected() {}
  virtual void on_bytes() = 0;  // read_buffer_ holds more than before
  virtual void on_written() {}  // what was buffered has been sent
  // Called once. The connection is closed by then, save after kClosed with keeps_half_open().
  virtual void on_end(End end) = 0;
  virtual bool keeps_half_open() { return false; }  // after the peer's end: go on writing

  Loop& loop_;
  proto::ReadBuffer read_buffer_;

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) { read_available(); }
  void on_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void on_error(const Poco::AutoPtr<Poco::Net::ErrorNotification>&);
  void read_available();
  bool finish_connecting();
  void flush();
  void on_flushed();
  void discard_input();
  void end_stream();
  void account_buffers();
  void set_interest(bool read, bool write);
  void close_and_report(End end);
  int socket_error();

  Poco::Net::StreamSocket socket_;
  std::string output_;
  size_t output_sent_ = 0, buffered_bytes_ = 0;
  const bool is_from_client_ = false;
  Loop::Entry entry_;
  bool is_connected_ = false, is_open_ = true, is_reading_ = false, is_writing_ = false;
  bool was_refused_ = false, is_lingering_ = false;
};

}  // namespace firvalve::net
