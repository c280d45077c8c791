#include "net/bus.h"

#include <Poco/Net/NetException.h>

#include <algorithm>

namespace firvalve::net {

class Bus::Connection : public Link {
 public:
  Connection(Bus& owner, const Poco::Net::SocketAddress& address)
      : Link(owner.loop_, address), owner_(owner) {}

 protected:
  void on_up() override {
    write(proto::bus_request(owner_.last_));
    owner_.listen(loop_.now());
  }
  void on_bytes() override {
    const Ms now = loop_.now();
    std::span<char> line;
    for (;;) {
      const proto::Read read = proto::next_line(inbox_, line);
      if (read == proto::Read::kMore) return;
      if (read == proto::Read::kBroken) return owner_.lost(now);
      owner_.hear(now, line);
      if (!open()) return;
    }
  }
  void on_end(End) override { owner_.lost(loop_.now()); }

 private:
  Bus& owner_;
};

namespace {
// The protocol counts what the bus would have told as told 4 s after it went silent or moved, and 2 s after a
// break: with the silence before it a lost bus has been asked again by then.
constexpr Ms kAgainMost = 1000;   // between attempts to reach it
constexpr Ms kMoveSpread = 1000;  // over which the gateways go where a new configuration sends them
}  // namespace

// A fleet that starts together does not come to the bus in one moment. But what a gateway knows at its start
// may be long out of date, and what the bus would have told counts as told: it is asked well within the grace
// for drains, whatever the time for a connection is.
Bus::Bus(Loop& loop, Counters& counters, std::string address, Ms connect_most, Ms first_within, uint64_t seed)
    : loop_(loop),
      counters_(counters),
      address_(std::move(address)),
      connect_most_(connect_most),
      again_(connect_most, kAgainMost, seed) {
  due_at_ = loop_.now() + again_.spread(std::min(connect_most_, first_within));
}
Bus::~Bus() = default;

void tell_roster(Core& core, Ms now, proto::BusEvent event) {
  std::vector<NamedListing> listings;
  for (proto::BusListing& l : event.listings)
    listings.push_back({std::move(l.name), std::move(l.address), std::move(l.listing)});
  core.roster(now, event.full, std::move(listings));
}

void Bus::hear(Ms now, std::span<char> line) {
  auto event = proto::read_bus_line(line);
  if (!event) {
    counters_.add("bus lines unreadable");
    if (on_unreadable) on_unreadable({line.data(), std::min<size_t>(line.size(), 200)});
    return lost(now);
  }
  listen(now);
  again_.well();
  if (event->offset <= last_ || (event->listings.empty() && !event->full)) return;
  last_ = event->offset;
  counters_.add("bus events");
  tell_roster(*core_, now, std::move(*event));
}

void Bus::lost(Ms now) {
  if (!link_) return;
  leave();
  counters_.add("bus connections lost");
  if (!moving_) due_at_ = now + again_.wait();
}

void Bus::listen(Ms now) {
  if (!moving_) due_at_ = now + proto::kBusSilence;
}

void Bus::leave() {
  if (!link_) return;
  link_->close();
  loop_.bury(std::move(link_));
}

void Bus::move(Ms now, std::string address) {
  if (address == address_) return;
  address_ = std::move(address);
  moving_ = true;
  due_at_ = now + again_.spread(kMoveSpread);
}

void Bus::due(Ms now) {
  if (now < due_at_) return;
  if (link_ && !moving_) return lost(now);
  moving_ = false;
  leave();
  try {
    link_ = std::make_unique<Connection>(*this, Poco::Net::SocketAddress(address_));
  } catch (const Poco::Exception&) {
    counters_.add("bus connections lost");
  }
  due_at_ = now + connect_most_;
}

}  // namespace firvalve::net
