// A connection that a peer has made: its requests come in, their answers go back.
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
  // Who owns the connections. The calls come on the loop's thread.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void handle_frame(InboundPeer& peer, std::span<char> body) = 0;
    virtual void handle_broken_framing(InboundPeer& peer) = 0;
    // The connection is closed. The observer may hand the object to the loop to be freed.
    virtual void handle_end(InboundPeer& peer) = 0;
  };

  InboundPeer(net::Loop& loop, Observer& observer, const Poco::Net::StreamSocket& socket)
      : Connection(loop, socket), observer_(observer) {}

  std::optional<consensus::PeerId> id;  // none: its first frame has not come

  // A connection that has not said whose it is gives way when descriptors run out.
  bool is_evictable() const override { return !id; }
  void evict() override { end(); }
  void end() {
    close();
    observer_.handle_end(*this);
  }

 protected:
  void on_bytes() override {
    std::span<char> body;
    for (;;) {
      const proto::ReadResult read = frames_.next(read_buffer_, body);
      if (read == proto::ReadResult::kIncomplete) return;
      if (read == proto::ReadResult::kMalformed) {
        observer_.handle_broken_framing(*this);
        return end();
      }
      observer_.handle_frame(*this, body);
      if (!is_open()) return;
    }
  }
  void on_end(End) override { observer_.handle_end(*this); }

 private:
  Observer& observer_;
  proto::RpcFrames frames_{kMaxFrameBytes};
};

}  // namespace firvalve::cluster
