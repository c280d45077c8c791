// The connection to the event bus: followed, lost, and made anew from the last event read.
#pragma once

#include <functional>
#include <memory>

#include "base/backoff.h"
#include "core/core.h"
#include "net/connection.h"
#include "net/connection_end.h"
#include "proto/bus/bus.h"

namespace firvalve::net {

// What has happened to the connection, or was read from it: for the log. The views are good for the call
// alone.
struct EndpointChange {
  enum class Kind { kConnected, kLost, kMoveDue, kListTaken };
  Kind kind = Kind::kConnected;
  std::string_view address;
  ConnectionEnd why = ConnectionEnd::kClosedByPeer;  // of kLost
  int64_t offset = 0;                                // the last event read
  size_t serving = 0, draining = 0, gone = 0;        // of kListTaken: the engines that it names
};

class EndpointWatcher {
 public:
  // first_within: from the start, by when it is asked at the latest.
  EndpointWatcher(Loop& loop, Metrics& counters, std::string address, Ms connect_most, Ms first_within,
                  uint64_t seed);
  ~EndpointWatcher();

  void follow(Core& core, int64_t last) {
    core_ = &core;
    last_ = last;
  }
  std::function<void(std::string_view line)> on_unreadable;  // where it begins
  std::function<void(Ms now, const EndpointChange& change)> on_change;
  void move(Ms now, std::string address);  // the numbers go on; the same address: nothing changes
  void due(Ms now);
  Ms next_due() const { return due_at_; }

 private:
  class WatchConnection;
  void handle(Ms now, std::span<char> line);
  void lost(Ms now, ConnectionEnd why);
  void tell(Ms now, EndpointChange::Kind kind, ConnectionEnd why = ConnectionEnd::kClosedByPeer) const;
  void leave();
  void listen(Ms now);  // for its silence; while it is to move, the moment drawn for that stands

  Loop& loop_;
  Metrics& counters_;
  std::string address_;
  Ms connect_most_ = 0;
  Core* core_ = nullptr;
  int64_t last_ = 0;
  Ms current_at_ = 0;  // the bus said that there is nothing after last_; 0: it has not yet
  std::unique_ptr<WatchConnection> link_;
  Ms due_at_ = 0;        // connect, or give the connection up
  bool moving_ = false;  // the connection is to be given up for one to another address
  Backoff backoff_;
};

// An event of the bus as the core takes it.
// current_at: the list was known to be current then, before this event; 0: it never was.
void tell_roster(Core& core, Ms now, proto::BusEvent event, Ms current_at = 0);

}  // namespace firvalve::net
