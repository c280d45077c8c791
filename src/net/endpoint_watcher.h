// Watches the endpoint list: one connection to the event bus, reconnected after a loss and resumed from the
// last event read.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/backoff.h"
#include "core/core.h"
#include "net/close_reason.h"
#include "net/connection.h"
#include "proto/bus/bus.h"

namespace firvalve::net {

// What has happened to the connection, or was read from it: for the log. The views are good for the call
// alone.
struct EndpointChange {
  enum class Kind { kConnected, kDisconnected, kMigrationScheduled, kListUpdated };
  Kind kind = Kind::kConnected;
  std::string_view address;
  CloseReason reason = CloseReason::kClosedByPeer;  // of kDisconnected
  int64_t offset = 0;                               // of the last event read
  size_t serving = 0, draining = 0, gone = 0;       // of kListUpdated: the engines that it names, by state
};

class EndpointWatcher {
 public:
  // The first connect is made within connect_timeout and within max_first_delay, at a time drawn from the
  // seed.
  EndpointWatcher(Loop& loop, Metrics& metrics, std::string address, Duration connect_timeout,
                  Duration max_first_delay, uint64_t seed);
  ~EndpointWatcher();

  // last_offset: of the last event that the core knows already. The core outlives this.
  void watch(Core& core, int64_t last_offset) {
    core_ = &core;
    last_offset_ = last_offset;
  }
  std::function<void(std::string_view line)> on_unreadable;  // the line's beginning
  std::function<void(TimePoint now, const EndpointChange& change)> on_change;
  // Reconnects to another address within a second, and goes on from the last event read. The same address:
  // nothing changes.
  void migrate(TimePoint now, std::string address);
  void run_due(TimePoint now);
  TimePoint next_due() const { return due_at_; }

 private:
  class WatchConnection;
  void handle_line(TimePoint now, std::span<char> line);
  void handle_disconnect(TimePoint now, CloseReason reason);
  void report(TimePoint now, EndpointChange::Kind kind,
              CloseReason reason = CloseReason::kClosedByPeer) const;
  void close_connection();
  void restart_read_timeout(TimePoint now);

  Loop& loop_;
  Metrics& metrics_;
  std::string address_;
  const Duration connect_timeout_;
  Core* core_ = nullptr;
  int64_t last_offset_ = 0;
  std::optional<TimePoint> current_at_;  // the bus last said that there is nothing after last_offset_
  std::unique_ptr<WatchConnection> connection_;
  TimePoint due_at_;           // of the connect, of a timeout, or of the migration
  bool is_migrating_ = false;  // the connection is to be closed for one to another address
  Backoff backoff_;
};

// Gives the core an event of the bus. list_current_at: when the list was last known to be current before this
// event, if it ever was.
void apply_endpoint_event(Core& core, TimePoint now, proto::BusEvent event,
                          std::optional<TimePoint> list_current_at = {});

}  // namespace firvalve::net
