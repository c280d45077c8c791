#include "net/endpoint_watcher.h"

#include <Poco/Net/NetException.h>

#include <algorithm>

namespace firvalve::net {

class EndpointWatcher::WatchConnection : public Connection {
 public:
  WatchConnection(EndpointWatcher& owner, const Poco::Net::SocketAddress& address)
      : Connection(owner.loop_, address), owner_(owner) {}

 protected:
  void on_up() override {
    write(proto::bus_request(owner_.last_));
    owner_.listen(loop_.now());
    owner_.tell(loop_.now(), EndpointChange::Kind::kConnected);
  }
  void on_bytes() override {
    const Ms now = loop_.now();
    std::span<char> line;
    for (;;) {
      const proto::Read read = proto::next_line(inbox_, line);
      if (read == proto::Read::kMore) return;
      if (read == proto::Read::kBroken) return owner_.lost(now, ConnectionEnd::kUnreadable);
      owner_.handle(now, line);
      if (!open()) return;
    }
  }
  void on_end(End end) override { owner_.lost(loop_.now(), end_of(end)); }

 private:
  EndpointWatcher& owner_;
};

namespace {
// The protocol counts what the bus would have told as told 4 s after it went silent or moved, and 2 s after a
// break: with the silence before it a lost bus has been asked again by then.
constexpr Ms kAgainMost = 1000;   // between attempts to reach it
constexpr Ms kMoveSpread = 1000;  // over which the gateways go where a new configuration sends them

EndpointChange change_of(const proto::BusEvent& event, std::string_view address) {
  EndpointChange change{EndpointChange::Kind::kListTaken, address, {}, event.offset};
  for (const proto::BusListing& l : event.listings) {
    change.serving += l.listing.state == EngineState::kReady;
    change.draining += l.listing.state == EngineState::kDraining;
    change.gone += l.listing.state == EngineState::kRemoved;
  }
  return change;
}
}  // namespace

// A fleet that starts together does not come to the bus in one moment. But what a gateway knows at its start
// may be long out of date, and what the bus would have told counts as told: it is asked well within the grace
// for drains, whatever the time for a connection is.
EndpointWatcher::EndpointWatcher(Loop& loop, Metrics& counters, std::string address, Ms connect_most,
                                 Ms first_within, uint64_t seed)
    : loop_(loop),
      counters_(counters),
      address_(std::move(address)),
      connect_most_(connect_most),
      backoff_(connect_most, kAgainMost, seed) {
  due_at_ = loop_.now() + backoff_.spread(std::min(connect_most_, first_within));
}
EndpointWatcher::~EndpointWatcher() = default;

void tell_roster(Core& core, Ms now, proto::BusEvent event, Ms current_at) {
  std::vector<NamedEngineInfo> listings;
  for (proto::BusListing& l : event.listings)
    listings.push_back({std::move(l.name), std::move(l.address), std::move(l.listing)});
  core.update_engine_list(time_point_of(now), event.full, std::move(listings),
                          current_at > 0 ? std::optional(time_point_of(current_at)) : std::nullopt);
}

void EndpointWatcher::handle(Ms now, std::span<char> line) {
  auto event = proto::read_bus_line(line);
  if (!event) {
    counters_.add("bus lines unreadable");
    if (on_unreadable) on_unreadable({line.data(), std::min<size_t>(line.size(), 200)});
    return lost(now, ConnectionEnd::kUnreadable);
  }
  listen(now);
  backoff_.reset();
  const bool is_number_alone = event->listings.empty() && !event->full;
  if (is_number_alone && event->offset == last_) current_at_ = now;
  if (event->offset <= last_ || is_number_alone) return;
  last_ = event->offset;
  counters_.add("bus events");
  if (on_change) on_change(now, change_of(*event, address_));
  tell_roster(*core_, now, std::move(*event), current_at_);
}

void EndpointWatcher::tell(Ms now, EndpointChange::Kind kind, ConnectionEnd why) const {
  if (on_change) on_change(now, {kind, address_, why, last_});
}

void EndpointWatcher::lost(Ms now, ConnectionEnd why) {
  if (!link_) return;
  leave();
  tell(now, EndpointChange::Kind::kLost, why);
  counters_.add("bus connections lost");
  if (!moving_) due_at_ = now + backoff_.next_delay();
}

void EndpointWatcher::listen(Ms now) {
  if (!moving_) due_at_ = now + proto::kBusSilence;
}

void EndpointWatcher::leave() {
  if (!link_) return;
  link_->close();
  loop_.bury(std::move(link_));
}

void EndpointWatcher::move(Ms now, std::string address) {
  if (address == address_) return;
  address_ = std::move(address);
  // Guards against configurations in a row that would each put the move off: the first one's moment stands.
  if (!moving_) due_at_ = now + backoff_.spread(kMoveSpread);
  moving_ = true;
  tell(now, EndpointChange::Kind::kMoveDue);
}

void EndpointWatcher::due(Ms now) {
  if (now < due_at_) return;
  if (link_ && !moving_)
    return lost(now, link_->up() ? ConnectionEnd::kSilent : ConnectionEnd::kConnectTimeout);
  moving_ = false;
  leave();
  try {
    link_ = std::make_unique<WatchConnection>(*this, Poco::Net::SocketAddress(address_));
  } catch (const Poco::Exception&) {
    counters_.add("bus connections lost");
  }
  due_at_ = now + connect_most_;
}

}  // namespace firvalve::net
