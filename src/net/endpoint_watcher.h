// Watches the list of engine endpoints over a connection to the event bus. After a lost connection it
// reconnects and resumes after the last event read.
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

// A change of the watch connection or of the endpoint list, reported for the log. The views are valid only
// during the call.
struct EndpointChange {
  enum class Kind { kConnected, kDisconnected, kMigrationScheduled, kListUpdated };
  Kind kind = Kind::kConnected;
  std::string_view address;
  CloseReason reason = CloseReason::kClosedByPeer;  // kDisconnected
  int64_t offset = 0;                               // offset of the last event read
  size_t serving = 0, draining = 0, gone = 0;       // kListUpdated: number of engines in the event, by state
};

class EndpointWatcher {
 public:
  // The first connect is made after a random delay, derived from the seed, of at most connect_timeout and at
  // most max_first_delay.
  EndpointWatcher(Loop& loop, Metrics& metrics, std::string address, Duration connect_timeout,
                  Duration max_first_delay, uint64_t seed);
  ~EndpointWatcher();

  // last_offset: the offset of the last event that the core has already applied. The core must outlive this
  // object.
  void watch(Core& core, int64_t last_offset) {
    core_ = &core;
    last_offset_ = last_offset;
  }
  std::function<void(std::string_view line)> on_malformed_line;  // receives the beginning of the line
  std::function<void(TimePoint now, const EndpointChange& change)> on_change;
  // Reconnects to a new address after a random delay of up to a second, and resumes after the last event
  // read. Does nothing if the address is unchanged.
  void migrate(TimePoint now, std::string address);
  void run_due(TimePoint now);
  TimePoint next_due() const { return due_at_; }

 private:
  class WatchConnection;
  void handle_line(TimePoint now, std::span<char> line);
  void handle_disconnect(TimePoint now, CloseReason reason);
  void report_change(TimePoint now, EndpointChange::Kind kind,
                     CloseReason reason = CloseReason::kClosedByPeer) const;
  void close_connection();
  void restart_read_timeout(TimePoint now);

  Loop& loop_;
  Metrics& metrics_;
  std::string address_;
  const Duration connect_timeout_;
  Core* core_ = nullptr;
  int64_t last_offset_ = 0;
  // When the bus last confirmed that last_offset_ is its newest event.
  std::optional<TimePoint> list_current_at_;
  std::unique_ptr<WatchConnection> connection_;
  TimePoint due_at_;           // time of the next connect, timeout or migration
  bool is_migrating_ = false;  // a reconnect to a new address is scheduled
  Backoff backoff_;
};

// Applies an event of the bus to the core. list_current_at: when the endpoint list was last known to be
// current before this event; empty: never.
void apply_endpoint_event(Core& core, TimePoint now, proto::BusEvent event,
                          std::optional<TimePoint> list_current_at = {});

}  // namespace firvalve::net
