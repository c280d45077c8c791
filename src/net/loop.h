// The event loop. Each turn handles the sockets' events first, then the work that is due, then the decisions,
// once. It also keeps the two accounts that all connections share: descriptors and buffered bytes.
//
// One thread; only Waker::wake() may be called from others.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "base/time.h"
#include "net/wake_timer.h"

namespace firvalve::net {

class Connection;

class Loop : public Poco::Net::SocketReactor {
 public:
  // Called at the end of each turn. Returns the next time at which something is due, if anything is.
  std::function<std::optional<TimePoint>(TimePoint now)> on_turn;

  // One value for the whole of a turn.
  TimePoint now();
  Ms now_ms() { return to_ms(now()); }  // for callers that pass times as plain Ms

  // Destroys the connection at the end of the turn, when no event refers to it any more.
  void destroy_after_turn(std::unique_ptr<Connection> connection);

  // The most that all connections together may hold.
  void set_limits(int max_descriptors, size_t max_buffered_bytes);

  // True: there is a descriptor for one more connection. Where none is left, the idlest evictable connection
  // is evicted; once clients hold their third of the descriptors, a new client evicts clients alone.
  bool reserve_descriptor(bool for_client);

  // For Connection alone: its entry in the accounts.
  using Entry = std::list<Connection*>::iterator;
  Entry add_connection(Connection& connection);
  void remove_connection(Entry entry);
  void mark_active(Entry entry) { connections_.splice(connections_.end(), connections_, entry); }
  void mark_idlest(Entry entry) { connections_.splice(connections_.begin(), connections_, entry); }
  void account_buffered(size_t bytes_before, size_t bytes_now) {
    buffered_bytes_ += bytes_now - bytes_before;
  }

 protected:
  void onBusy() override;
  void onTimeout() override { end_turn(); }

 private:
  struct EvictionFilter {
    bool only_clients = false, only_buffering = false, only_evictable = false;
  };

  void end_turn();
  void evict_over_memory_limit();
  Connection* find_idlest(const EvictionFilter& filter) const;

  WakeTimer wake_timer_{*this};
  TimePoint now_;
  bool is_turn_open_ = false;
  std::list<Connection*> connections_;  // the idlest first
  int client_count_ = 0, max_descriptors_ = 1024;
  size_t buffered_bytes_ = 0, max_buffered_bytes_ = size_t{16} * 1024 * 1024;
  std::vector<std::unique_ptr<Connection>> to_destroy_;
};

}  // namespace firvalve::net
