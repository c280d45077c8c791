#include "net/endpoint_watcher.h"

#include <Poco/Net/NetException.h>

#include <algorithm>

namespace firvalve::net {

using namespace std::chrono_literals;

class EndpointWatcher::WatchConnection : public Connection {
 public:
  WatchConnection(EndpointWatcher& owner, const Poco::Net::SocketAddress& address)
      : Connection(owner.loop_, address), owner_(owner) {}

 protected:
  void on_connected() override {
    write(proto::bus_request(owner_.last_offset_));
    owner_.restart_read_timeout(loop_.now());
    owner_.report_change(loop_.now(), EndpointChange::Kind::kConnected);
  }
  void on_bytes() override {
    const TimePoint now = loop_.now();
    std::span<char> line;
    for (;;) {
      const proto::ReadResult read = proto::next_line(read_buffer_, line);
      if (read == proto::ReadResult::kIncomplete) return;
      if (read == proto::ReadResult::kMalformed)
        return owner_.handle_disconnect(now, CloseReason::kProtocolError);
      owner_.handle_line(now, line);
      if (!is_open()) return;
    }
  }
  void on_end(End end) override { owner_.handle_disconnect(loop_.now(), close_reason_of(end)); }

 private:
  EndpointWatcher& owner_;
};

namespace {

// The protocol treats a bus event as known to the gateway 4 s after the bus went silent or changed its
// address, and 2 s after a broken connection. With this bound, and the read timeout before it, the gateway
// has reconnected by then.
constexpr Duration kMaxReconnectDelay = 1000ms;
constexpr Duration kMaxMigrationDelay = 1000ms;  // spreads the reconnects of all gateways to a new address
constexpr size_t kMaxReportedLineBytes = 200;

EndpointChange list_update_of(const proto::BusEvent& event, std::string_view address) {
  EndpointChange change{EndpointChange::Kind::kListUpdated, address, {}, event.offset};
  for (const proto::BusListing& endpoint : event.listings) {
    change.serving += endpoint.listing.state == EngineState::kReady;
    change.draining += endpoint.listing.state == EngineState::kDraining;
    change.gone += endpoint.listing.state == EngineState::kRemoved;
  }
  return change;
}

}  // namespace

// The first connect is jittered, so that gateways that start together do not all connect to the bus at the
// same moment. Since a gateway may start with an outdated list, and the protocol counts the events of the bus
// as known to it, max_first_delay keeps the first connect well within the drain grace even if the connect
// timeout is long.
EndpointWatcher::EndpointWatcher(Loop& loop, Metrics& metrics, std::string address, Duration connect_timeout,
                                 Duration max_first_delay, uint64_t seed)
    : loop_(loop),
      metrics_(metrics),
      address_(std::move(address)),
      connect_timeout_(connect_timeout),
      backoff_(to_ms(connect_timeout), to_ms(kMaxReconnectDelay), seed) {
  due_at_ =
      loop_.now() + duration_of(backoff_.draw_jitter(to_ms(std::min(connect_timeout_, max_first_delay))));
}
EndpointWatcher::~EndpointWatcher() = default;

void apply_endpoint_event(Core& core, TimePoint now, proto::BusEvent event,
                          std::optional<TimePoint> list_current_at) {
  std::vector<NamedEngineInfo> engines;
  for (proto::BusListing& endpoint : event.listings)
    engines.push_back({std::move(endpoint.name), std::move(endpoint.address), std::move(endpoint.listing)});
  core.update_engine_list(now, event.full, std::move(engines), list_current_at);
}

void EndpointWatcher::handle_line(TimePoint now, std::span<char> line) {
  auto event = proto::read_bus_line(line);
  if (!event) {
    metrics_.add("bus lines unreadable");
    if (on_malformed_line)
      on_malformed_line({line.data(), std::min<size_t>(line.size(), kMaxReportedLineBytes)});
    return handle_disconnect(now, CloseReason::kProtocolError);
  }
  restart_read_timeout(now);
  backoff_.reset();
  const bool is_heartbeat = event->listings.empty() && !event->full;
  if (is_heartbeat && event->offset == last_offset_) list_current_at_ = now;
  if (event->offset <= last_offset_ || is_heartbeat) return;
  last_offset_ = event->offset;
  metrics_.add("bus events");
  if (on_change) on_change(now, list_update_of(*event, address_));
  apply_endpoint_event(*core_, now, std::move(*event), list_current_at_);
}

void EndpointWatcher::report_change(TimePoint now, EndpointChange::Kind kind, CloseReason reason) const {
  if (on_change) on_change(now, {kind, address_, reason, last_offset_});
}

void EndpointWatcher::handle_disconnect(TimePoint now, CloseReason reason) {
  if (!connection_) return;
  close_connection();
  report_change(now, EndpointChange::Kind::kDisconnected, reason);
  metrics_.add("bus connections lost");
  if (!is_migrating_) due_at_ = now + duration_of(backoff_.next_delay());
}

// Does not change the time of a scheduled migration.
void EndpointWatcher::restart_read_timeout(TimePoint now) {
  if (!is_migrating_) due_at_ = now + proto::kBusReadTimeout;
}

void EndpointWatcher::close_connection() {
  if (!connection_) return;
  connection_->close();
  loop_.destroy_after_turn(std::move(connection_));
}

void EndpointWatcher::migrate(TimePoint now, std::string address) {
  if (address == address_) return;
  address_ = std::move(address);
  // Guards against several configuration changes in a row, each of which would postpone the migration: the
  // time of the first one is kept.
  if (!is_migrating_) due_at_ = now + duration_of(backoff_.draw_jitter(to_ms(kMaxMigrationDelay)));
  is_migrating_ = true;
  report_change(now, EndpointChange::Kind::kMigrationScheduled);
}

void EndpointWatcher::run_due(TimePoint now) {
  if (now < due_at_) return;
  if (connection_ && !is_migrating_)
    return handle_disconnect(
        now, connection_->is_connected() ? CloseReason::kReadTimeout : CloseReason::kConnectTimeout);
  is_migrating_ = false;
  close_connection();
  try {
    connection_ = std::make_unique<WatchConnection>(*this, Poco::Net::SocketAddress(address_));
  } catch (const Poco::Exception&) {
    metrics_.add("bus connections lost");
  }
  due_at_ = now + connect_timeout_;
}

}  // namespace firvalve::net
