// The connection from this gateway to one replica, reconnected when it ends. It carries this gateway's
// requests and the replica's responses.
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
  // Owner of the connections, called on the event loop's thread.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void handle_connecting(OutboundPeer& peer) = 0;
    virtual void handle_connected(OutboundPeer& peer) = 0;
    // An established connection has ended. Failed connection attempts after that are not reported.
    virtual void handle_disconnected(OutboundPeer& peer, const char* reason) = 0;
    virtual void handle_frame(OutboundPeer& peer, std::span<char> body) = 0;
  };

  // Connects in the first due(), and reconnects after a backoff whenever the connection ends.
  OutboundPeer(net::Loop& loop, Observer& observer, consensus::PeerId id, std::string address,
               uint64_t random_seed);
  ~OutboundPeer();

  // Sends a frame. It is dropped if there is no connection or more than kMaxUnsentBytes would be queued; the
  // state machines retry.
  void write(const std::string& frame, BootClock::time_point now);
  net::Connection* connection() const;  // null if there is none

  void due(BootClock::time_point now);
  std::optional<BootClock::time_point> next_due() const;

  consensus::PeerId id() const { return id_; }
  const std::string& address() const { return address_; }
  bool is_connected() const;

 private:
  class Connection;
  void disconnect(BootClock::time_point now, const char* reason);

  net::Loop& loop_;
  Observer& observer_;
  const consensus::PeerId id_;
  const std::string address_;
  std::unique_ptr<Connection> connection_;
  Backoff backoff_;
  bool was_connected_ = false;               // since the last reported disconnect
  BootClock::time_point next_connect_at_{};  // time of the next attempt; initially at once
  BootClock::time_point connecting_since_{};
  // Time of the first write since the last data received.
  std::optional<BootClock::time_point> unanswered_since_;
};

}  // namespace firvalve::cluster
