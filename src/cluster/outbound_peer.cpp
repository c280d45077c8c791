#include "cluster/outbound_peer.h"

#include "cluster/peer_limits.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::cluster {

using Poco::Net::SocketAddress;

namespace {

constexpr Duration kConnectTimeout(1000);
// A replica that sends nothing for this long after a request is considered unreachable even if the connection
// looks open: a replica responds to a watch request within a second.
constexpr Duration kSilenceTimeout(2500);
constexpr Ms kFirstReconnectDelay = 50, kMaxReconnectDelay = 2000;

}  // namespace

class OutboundPeer::Connection : public net::Connection {
 public:
  Connection(OutboundPeer& owner, const SocketAddress& address)
      : net::Connection(owner.loop_, address), owner_(owner) {}

 protected:
  void on_connected() override {
    owner_.backoff_.reset();
    owner_.was_connected_ = true;
    owner_.observer_.handle_connected(owner_);
  }
  void on_bytes() override {
    owner_.unanswered_since_.reset();
    std::span<char> body;
    for (;;) {
      const proto::ReadResult read = frames_.next(read_buffer_, body);
      if (read == proto::ReadResult::kIncomplete) return;
      if (read == proto::ReadResult::kMalformed) return owner_.disconnect(BootClock::now(), "broken framing");
      owner_.observer_.handle_frame(owner_, body);
      if (!is_open()) return;
    }
  }
  void on_end(End end) override {
    owner_.disconnect(BootClock::now(), end == End::kRefused ? "refused" : "closed");
  }

 private:
  OutboundPeer& owner_;
  proto::RpcFrames frames_{kMaxFrameBytes};
};

OutboundPeer::OutboundPeer(net::Loop& loop, Observer& observer, consensus::PeerId id, std::string address,
                           uint64_t random_seed)
    : loop_(loop),
      observer_(observer),
      id_(id),
      address_(std::move(address)),
      backoff_(kFirstReconnectDelay, kMaxReconnectDelay, random_seed + id) {}

OutboundPeer::~OutboundPeer() = default;

void OutboundPeer::write(const std::string& frame, BootClock::time_point now) {
  if (!connection_ || connection_->unsent_bytes() + frame.size() > kMaxUnsentBytes) return;
  connection_->write(frame);
  if (!unanswered_since_) unanswered_since_ = now;
}

net::Connection* OutboundPeer::connection() const { return connection_.get(); }

void OutboundPeer::due(BootClock::time_point now) {
  if (connection_ && !connection_->is_connected() && now >= connecting_since_ + kConnectTimeout)
    disconnect(now, "did not come up");
  if (connection_ && unanswered_since_ && now >= *unanswered_since_ + kSilenceTimeout)
    disconnect(now, "says nothing");
  if (connection_ || now < next_connect_at_) return;
  connecting_since_ = now;
  unanswered_since_.reset();
  if (!loop_.reserve_descriptor(false)) return disconnect(now, "no descriptor left");
  observer_.handle_connecting(*this);
  connection_ = std::make_unique<Connection>(*this, SocketAddress(address_));
  if (connection_->was_refused()) disconnect(now, "refused");
}

std::optional<BootClock::time_point> OutboundPeer::next_due() const {
  if (!connection_) return next_connect_at_ + Duration(1);
  if (!connection_->is_connected()) return connecting_since_ + kConnectTimeout;
  if (!unanswered_since_) return {};
  return *unanswered_since_ + kSilenceTimeout;
}

bool OutboundPeer::is_connected() const { return connection_ && connection_->is_connected(); }

void OutboundPeer::disconnect(BootClock::time_point now, const char* reason) {
  if (connection_) {
    connection_->abort();
    loop_.destroy_after_turn(std::move(connection_));
  }
  if (was_connected_) observer_.handle_disconnected(*this, reason);
  was_connected_ = false;
  unanswered_since_.reset();
  next_connect_at_ = now + duration_of(backoff_.next_delay());
}

}  // namespace firvalve::cluster
