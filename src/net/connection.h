// One connection, non-blocking: bytes in, bytes out, and its end. It owns the descriptor.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <string>

#include "net/loop.h"
#include "proto/inbox.h"

namespace firvalve::net {

class Connection {
 public:
  enum class End { kClosed, kReset, kRefused };

  enum class Kind { kTcp, kClient, kLocal };

  Connection(Loop& loop, const Poco::Net::StreamSocket& up, Kind kind = Kind::kTcp);  // accepted
  Connection(Loop& loop, const Poco::Net::SocketAddress& address);                    // to be connected
  virtual ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool from_client() const { return client_; }
  virtual bool spare() const { return false; }  // nothing depends on it: it may be ended to make room
  virtual void spared() {}                      // the room is wanted: it ends
  size_t held() const { return buffered_; }     // bytes in its buffers

  void write(std::string_view bytes);  // what the socket does not take at once waits
  size_t unsent() const { return out_.size() - out_sent_; }
  bool up() const { return up_; }
  bool open() const { return open_; }
  bool refused() const { return refused_; }  // at once, when it was to be connected: its owner ends it
  void read_on(bool on);
  void close();  // without a word to the subclass
  // The end in good order (a lingering close): what was written still goes out, then the end of the stream;
  // what comes is thrown away. Guards answers against the reset that a close over unread bytes sends. The
  // peer's end is told by on_end(); until then the descriptor is held, and its owner must close it in bounded
  // time.
  void linger();
  bool lingers() const { return lingers_; }
  bool quiet() const;  // nothing has come that was not read, not even its end
  void abort();        // the same, and what the peer has not taken yet never reaches it

 protected:
  virtual void on_up() {}
  virtual void on_bytes() = 0;       // inbox holds more than before
  virtual void on_written() {}       // what had to wait has gone out
  virtual void on_end(End end) = 0;  // once; the link is closed by then, save after kClosed with half_open()
  virtual bool half_open() { return false; }  // after the peer's end: keep the connection to write on

  Loop& loop_;
  proto::Inbox inbox_;

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) { ready(); }
  void on_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void on_error(const Poco::AutoPtr<Poco::Net::ErrorNotification>&);
  void ready();
  void flush();
  void discard();
  void end_stream();
  void account();
  void want(bool read, bool write);
  void ended(End end);
  int socket_error();

  Poco::Net::StreamSocket socket_;
  std::string out_;
  size_t out_sent_ = 0, buffered_ = 0;
  const bool client_ = false;
  Loop::Place place_;
  bool up_ = false, open_ = true, reading_ = false, writing_ = false, refused_ = false, lingers_ = false;
};

}  // namespace firvalve::net
