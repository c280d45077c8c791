#include "cluster/peer_connections.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace firvalve::cluster {

using consensus::Envelope;
using consensus::Message;
using consensus::MessageType;
using consensus::PeerId;
using Poco::Net::ReadableNotification;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

namespace {

constexpr Duration kAcceptRetryDelay(250);  // after file descriptors ran out
constexpr int kMaxAcceptsPerTurn = 64;      // bounds the time that other sockets wait
constexpr int kListenBacklog = 1024;

// Whether it is a response of a replica; all other messages are requests to a replica.
bool is_response(MessageType type) {
  return type == MessageType::kPromise || type == MessageType::kAccepted || type == MessageType::kRejected ||
         type == MessageType::kChanges || type == MessageType::kMetadata || type == MessageType::kState;
}

}  // namespace

PeerConnections::PeerConnections(net::Loop& loop, const ClusterOptions& options, PeerId self,
                                 Receiver& receiver, const ClusterLog& log)
    : loop_(loop),
      options_(options),
      replicas_hash_(hash_of_replicas(options.replicas)),
      receiver_(receiver),
      log_(log),
      next_peer_id_(static_cast<PeerId>(options.replicas.size())) {
  OutboundPeer::Observer& observer = *this;
  for (PeerId id = 0; id < options.replicas.size(); ++id)
    outbound_.push_back(id == self ? nullptr
                                   : std::make_unique<OutboundPeer>(loop, observer, id, options.replicas[id],
                                                                    options.random_seed));
  listener_.bind(SocketAddress(options.listen), true);
  listener_.listen(kListenBacklog);
  listener_.setBlocking(false);
  set_accepting(true);
}

PeerConnections::~PeerConnections() { set_accepting(false); }

void PeerConnections::set_accepting(bool is_accepting) {
  const Poco::NObserver<PeerConnections, ReadableNotification> observer(*this, &PeerConnections::accept_all);
  if (is_accepting != is_accepting_)
    is_accepting ? loop_.addEventHandler(listener_, observer) : loop_.removeEventHandler(listener_, observer);
  is_accepting_ = is_accepting;
}

void PeerConnections::accept_all(const Poco::AutoPtr<ReadableNotification>&) {
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    const bool has_descriptor = loop_.reserve_descriptor(false);
    const int descriptor =
        has_descriptor ? ::accept4(listener_.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)
                       : -1;
    if (!has_descriptor || (descriptor < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
      resume_accepting_at_ = BootClock::now() + kAcceptRetryDelay;
      return set_accepting(false);
    }
    if (descriptor < 0) return;
    InboundPeer::Observer& observer = *this;
    auto peer = std::make_unique<InboundPeer>(loop_, observer,
                                              StreamSocket(new Poco::Net::StreamSocketImpl(descriptor)));
    InboundPeer* const key = peer.get();
    inbound_[key] = std::move(peer);
  }
}

void PeerConnections::due(BootClock::time_point now) {
  if (!is_accepting_ && now >= resume_accepting_at_) {
    resume_accepting_at_.reset();
    set_accepting(true);
  }
  for (const auto& peer : outbound_)
    if (peer) peer->due(now);
}

std::optional<BootClock::time_point> PeerConnections::next_due() const {
  std::optional<BootClock::time_point> next = resume_accepting_at_;
  for (const auto& peer : outbound_)
    if (peer) next = earlier_of(next, peer->next_due());
  return next;
}

void PeerConnections::handle_connecting(OutboundPeer&) { ++counts_.connects; }
void PeerConnections::handle_connected(OutboundPeer& peer) { log_.record_connected(peer.address()); }
void PeerConnections::handle_disconnected(OutboundPeer& peer, const char* reason) {
  record_disconnect(peer.address(), reason);
}
void PeerConnections::handle_broken_framing(InboundPeer&) { record_disconnect("somebody", "broken framing"); }

void PeerConnections::record_disconnect(std::string_view peer, std::string_view reason) {
  ++counts_.lost;
  log_.record_disconnected(peer, reason);
}

void PeerConnections::handle_closed(InboundPeer& peer) {
  if (peer.id) {
    const auto connection = response_connections_.find(*peer.id);
    if (connection != response_connections_.end() && connection->second == &peer) {
      response_connections_.erase(connection);
      receiver_.handle_peer_disconnected(*peer.id);
    }
  }
  const auto owned = inbound_.find(&peer);
  if (owned == inbound_.end()) return;
  loop_.destroy_after_turn(std::move(owned->second));
  inbound_.erase(owned);
}

std::optional<Frame> PeerConnections::read_valid_frame(const std::string& peer, std::span<char> body) {
  const char* reason = "";
  std::optional<Frame> frame = read_frame(body, reason);
  if (frame && frame->replicas_hash != replicas_hash_) {
    reason = "goes by another list of keepers";
    frame.reset();
  }
  if (!frame) log_.record_rejected_frame(peer, reason);
  return frame;
}

void PeerConnections::handle_frame(OutboundPeer& peer, std::span<char> body) {
  // A rejected frame does not end the connection: the request is retried, and its next response may be valid.
  if (const std::optional<Frame> frame = read_valid_frame(peer.address(), body))
    receive(peer.id(), *frame, body.size(), true);
}

void PeerConnections::handle_frame(InboundPeer& peer, std::span<char> body) {
  const std::optional<Frame> frame = read_valid_frame("unknown", body);
  if (!frame) return peer.disconnect();
  if (!peer.id) {
    const std::vector<std::string>& replicas = options_.replicas;
    const auto replica = std::find(replicas.begin(), replicas.end(), frame->sender);
    peer.id = replica != replicas.end() ? static_cast<PeerId>(replica - replicas.begin()) : next_peer_id_++;
    response_connections_[*peer.id] = &peer;
  }
  receive(*peer.id, *frame, body.size(), false);
}

void PeerConnections::receive(PeerId from, const Frame& frame, size_t body_bytes, bool from_replica) {
  ++counts_.frames_in;
  counts_.messages_in += frame.messages.size();
  counts_.bytes_in += framed_size(body_bytes);
  const BootClock::time_point now = BootClock::now();
  for (const Message& message : frame.messages)
    if (is_response(message.type) == from_replica) receiver_.handle_message(now, from, message);
}

void PeerConnections::add_to(FrameBatch& batch, const Envelope& envelope) const {
  net::Connection* connection = nullptr;
  if (is_response(envelope.message.type)) {
    if (const auto peer = response_connections_.find(envelope.to); peer != response_connections_.end())
      connection = peer->second;
  } else if (envelope.to < outbound_.size() && outbound_[envelope.to]) {
    connection = outbound_[envelope.to]->connection();
  }
  if (connection) batch.add(*connection, envelope.message);
}

void PeerConnections::send(FrameBatch& batch, BootClock::time_point now) {
  batch.drain([&](net::Connection& connection, std::vector<Message> messages) {
    for (const Frame& frame : pack_frames(options_.name, replicas_hash_, std::move(messages))) {
      std::string bytes;
      append_frame(bytes, frame);
      log_.count_sent_frame();
      ++counts_.frames_out;
      counts_.messages_out += frame.messages.size();
      counts_.bytes_out += bytes.size();
      write(connection, bytes, now);
    }
  });
}

void PeerConnections::write(net::Connection& connection, const std::string& frame,
                            BootClock::time_point now) {
  const auto peer = std::find_if(outbound_.begin(), outbound_.end(), [&](const auto& candidate) {
    return candidate && candidate->connection() == &connection;
  });
  if (peer != outbound_.end())
    (*peer)->write(frame, now);
  else if (connection.unsent_bytes() + frame.size() <= kMaxUnsentBytes)
    connection.write(frame);
}

void PeerConnections::log_status() const {
  for (const auto& peer : outbound_)
    if (peer) log_.record_peer_status(peer->address(), peer->is_connected());
}

}  // namespace firvalve::cluster
