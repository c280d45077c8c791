// All connections to and from peers: it accepts and connects, checks and numbers who speaks, and carries
// messages in frames. What the messages say is not its concern.
//
// Requests go out on the connection that this gateway made to a replica, answers on the one that the asking
// peer made. A message without a connection is dropped: the state machines repeat what matters.
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

// What went over connections to peers since the start.
struct ConnectionCounts {
  uint64_t frames_in = 0, frames_out = 0;
  uint64_t messages_in = 0, messages_out = 0;  // of consensus, one or several a frame
  uint64_t bytes_in = 0, bytes_out = 0;        // of frames with their heads
  uint64_t connects = 0;                       // that this gateway has begun
  uint64_t lost = 0;                           // connections that were up, or frames on them that were broken
};

// Used on the loop's thread alone.
class PeerConnections final : private OutboundPeer::Observer, private InboundPeer::Observer {
 public:
  class Receiver {
   public:
    virtual ~Receiver() = default;
    virtual void handle_message(BootClock::time_point now, consensus::PeerId from,
                                const consensus::Message& message) = 0;
    // Answers no longer reach this peer.
    virtual void handle_peer_gone(consensus::PeerId peer) = 0;
  };

  // `self`: this gateway's own number where it is a replica, else the count of replicas. Throws
  // Poco::Exception: the address cannot be listened on.
  PeerConnections(net::Loop& loop, const ClusterOptions& options, consensus::PeerId self, Receiver& receiver,
                  const ClusterLog& log);
  ~PeerConnections() override;
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  void due(BootClock::time_point now);
  std::optional<BootClock::time_point> next_due() const;

  // Puts the message into the batch under its connection, or drops it where there is none.
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
  void handle_end(InboundPeer& peer) override;

  void set_accepting(bool is_accepting);
  void accept_all(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  // None: it was rejected, which has been logged.
  std::optional<Frame> read_valid_frame(const std::string& peer, std::span<char> body);
  void receive(consensus::PeerId from, const Frame& frame, size_t body_bytes, bool from_replica);
  void record_loss(std::string_view peer, std::string_view reason);
  void write(net::Connection& connection, const std::string& frame, BootClock::time_point now);

  net::Loop& loop_;
  const ClusterOptions& options_;
  const uint64_t replicas_hash_;
  Receiver& receiver_;
  const ClusterLog& log_;
  std::vector<std::unique_ptr<OutboundPeer>> outbound_;  // by PeerId; null at this gateway's own place
  std::map<InboundPeer*, std::unique_ptr<InboundPeer>> inbound_;
  std::map<consensus::PeerId, InboundPeer*> answers_to_;  // the newest connection of each that has spoken
  consensus::PeerId next_peer_id_;                        // for the next peer that is no replica
  Poco::Net::ServerSocket listener_;
  bool is_accepting_ = false;
  std::optional<BootClock::time_point> accept_again_at_;
  ConnectionCounts counts_;
};

}  // namespace firvalve::cluster
