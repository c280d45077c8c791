// A connection accepted from a peer. It carries the peer's requests and this gateway's responses.
#pragma once

#include <optional>
#include <span>

#include "cluster/peer_limits.h"
#include "consensus/register.h"
#include "net/connection.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::cluster {

class InboundPeer : public net::Connection {
 public:
  // Owner of the connections, called on the event loop's thread.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void handle_frame(InboundPeer& peer, std::span<char> body) = 0;
    virtual void handle_broken_framing(InboundPeer& peer) = 0;
    // The connection is closed. The observer may pass the object to the loop for destruction.
    virtual void handle_closed(InboundPeer& peer) = 0;
  };

  InboundPeer(net::Loop& loop, Observer& observer, const Poco::Net::StreamSocket& socket)
      : Connection(loop, socket), observer_(observer) {}

  std::optional<consensus::PeerId> id;  // empty until the first frame has identified the peer

  // A connection whose peer is not identified yet may be closed if file descriptors run out.
  bool is_evictable() const override { return !id; }
  void evict(EvictionReason) override { disconnect(); }
  void disconnect() {
    close();
    observer_.handle_closed(*this);
  }

 protected:
  void on_bytes() override {
    std::span<char> body;
    for (;;) {
      const proto::ReadResult read = frames_.next(read_buffer_, body);
      if (read == proto::ReadResult::kIncomplete) return;
      if (read == proto::ReadResult::kMalformed) {
        observer_.handle_broken_framing(*this);
        return disconnect();
      }
      observer_.handle_frame(*this, body);
      if (!is_open()) return;
    }
  }
  void on_end(End) override { observer_.handle_closed(*this); }

 private:
  Observer& observer_;
  proto::RpcFrames frames_{kMaxFrameBytes};
};

}  // namespace firvalve::cluster
