// The connection that this gateway keeps up to one replica: requests go out, their answers come back.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>

#include "base/backoff.h"
#include "base/time.h"
#include "consensus/register.h"
#include "net/connection.h"

namespace firvalve::cluster {

class OutboundPeer {
 public:
  // Who owns the connections. The calls come on the loop's thread.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void handle_connecting(OutboundPeer& peer) = 0;
    virtual void handle_connected(OutboundPeer& peer) = 0;
    // Of a connection that was up, or of the first failure after one.
    virtual void handle_disconnected(OutboundPeer& peer, const char* reason) = 0;
    virtual void handle_frame(OutboundPeer& peer, std::span<char> body) = 0;
  };

  // Connects with the first due(), and again after a backoff whenever the connection ends.
  OutboundPeer(net::Loop& loop, Observer& observer, consensus::PeerId id, std::string address,
               uint64_t random_seed);
  ~OutboundPeer();

  // Writes a frame. Without a connection, or where too much waits unsent, it is dropped: the sender retries.
  void write(const std::string& frame, BootClock::time_point now);
  net::Connection* connection() const;  // null: none

  void due(BootClock::time_point now);
  std::optional<BootClock::time_point> next_due() const;

  consensus::PeerId id() const { return id_; }
  const std::string& address() const { return address_; }
  bool is_connected() const;

 private:
  class Connection;
  void end(BootClock::time_point now, const char* reason);

  net::Loop& loop_;
  Observer& observer_;
  const consensus::PeerId id_;
  const std::string address_;
  std::unique_ptr<Connection> connection_;
  Backoff backoff_;
  bool was_connected_ = false;          // since the last end that was reported
  BootClock::time_point connect_at_{};  // the next attempt; at first as soon as can be
  BootClock::time_point connecting_since_{};
  std::optional<BootClock::time_point> unanswered_since_;  // the first write that nothing has followed
};

}  // namespace firvalve::cluster
