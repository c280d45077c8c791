// Manages all connections to and from peers: connects, accepts, validates frames, assigns PeerIds and
// transports messages in frames. It does not interpret the messages.
//
// Requests are sent on the connection from this gateway to a replica, responses on the connection that the
// requesting peer opened. A message without a connection is dropped: the state machines retry.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "cluster/cluster_log.h"
#include "cluster/cluster_options.h"
#include "cluster/frame_batch.h"
#include "cluster/inbound_peer.h"
#include "cluster/outbound_peer.h"

namespace firvalve::cluster {

// Traffic on peer connections since the start.
struct ConnectionCounts {
  uint64_t frames_in = 0, frames_out = 0;
  uint64_t messages_in = 0, messages_out = 0;  // consensus messages; a frame holds one or several
  uint64_t bytes_in = 0, bytes_out = 0;        // of frames including their headers
  uint64_t connects = 0;                       // connection attempts of this gateway
  uint64_t lost = 0;  // established connections that ended, and inbound ones with broken framing
};

// Must be used on the event loop's thread only.
class PeerConnections final : private OutboundPeer::Observer, private InboundPeer::Observer {
 public:
  class Receiver {
   public:
    virtual ~Receiver() = default;
    virtual void handle_message(BootClock::time_point now, consensus::PeerId from,
                                const consensus::Message& message) = 0;
    // The peer's connection has ended; responses can no longer reach it.
    virtual void handle_peer_disconnected(consensus::PeerId peer) = 0;
  };

  // `self`: this gateway's PeerId if it is a replica, else the number of replicas. Throws Poco::Exception if
  // the listen address cannot be bound.
  PeerConnections(net::Loop& loop, const ClusterOptions& options, consensus::PeerId self, Receiver& receiver,
                  const ClusterLog& log);
  ~PeerConnections() override;
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  void due(BootClock::time_point now);
  std::optional<BootClock::time_point> next_due() const;

  // Adds the message to the batch under its connection; drops it if there is no connection.
  void add_to(FrameBatch& batch, const consensus::Envelope& envelope) const;
  void send(FrameBatch& batch, BootClock::time_point now);

  const ConnectionCounts& counts() const { return counts_; }
  void log_status() const;

 private:
  void handle_connecting(OutboundPeer& peer) override;
  void handle_connected(OutboundPeer& peer) override;
  void handle_disconnected(OutboundPeer& peer, const char* reason) override;
  void handle_frame(OutboundPeer& peer, std::span<char> body) override;
  void handle_frame(InboundPeer& peer, std::span<char> body) override;
  void handle_broken_framing(InboundPeer& peer) override;
  void handle_closed(InboundPeer& peer) override;

  void set_accepting(bool is_accepting);
  void accept_all(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  // Logs a rejected frame and returns nullopt.
  std::optional<Frame> read_valid_frame(const std::string& peer, std::span<char> body);
  void receive(consensus::PeerId from, const Frame& frame, size_t body_bytes, bool from_replica);
  void record_disconnect(std::string_view peer, std::string_view reason);
  void write(net::Connection& connection, const std::string& frame, BootClock::time_point now);

  net::Loop& loop_;
  const ClusterOptions& options_;
  const uint64_t replicas_hash_;
  Receiver& receiver_;
  const ClusterLog& log_;
  std::vector<std::unique_ptr<OutboundPeer>> outbound_;  // indexed by PeerId; null for this gateway itself
  std::map<InboundPeer*, std::unique_ptr<InboundPeer>> inbound_;
  // The latest inbound connection of each identified peer.
  std::map<consensus::PeerId, InboundPeer*> response_connections_;
  consensus::PeerId next_peer_id_;  // for the next peer that is not a replica
  Poco::Net::ServerSocket listener_;
  bool is_accepting_ = false;
  std::optional<BootClock::time_point> resume_accepting_at_;
  ConnectionCounts counts_;
};

}  // namespace firvalve::cluster
