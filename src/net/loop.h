// The event loop of one thread. Each turn handles the socket events first and then calls on_turn once, which
// runs due work and makes the scheduling decisions. The loop also enforces two limits that all its
// connections share: open descriptors and buffered bytes.
//
// Not thread-safe. Only Waker::wake() may be called from other threads.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "base/time.h"
#include "net/wake_timer.h"

namespace firvalve::net {

class Connection;

class Loop : public Poco::Net::SocketReactor {
 public:
  // Called at the end of each turn. Returns when the next work is due; empty: none is scheduled.
  std::function<std::optional<TimePoint>(TimePoint now)> on_turn;

  // The current time, read once per turn: every call within a turn returns the same value.
  TimePoint now();
  Ms now_ms() { return to_ms(now()); }  // for callers that pass times as plain Ms

  // Destroys the connection at the end of the turn, when no pending event refers to it any more.
  void destroy_after_turn(std::unique_ptr<Connection> connection);

  // Limits for all connections together.
  void set_limits(int max_descriptors, size_t max_buffered_bytes);

  // Returns true if a descriptor is available for one more connection. If none is left, evicts the least
  // recently active evictable connection, those in the middle of a message last. While clients hold a third
  // of the descriptors or more, a new client connection can evict only client connections.
  bool reserve_descriptor(bool for_client);

  // Frees buffers until so many more bytes fit into the limit, or nothing is left that can be freed. May
  // close any connection or drop its incomplete message. Called before the bytes are allocated.
  void make_room(size_t bytes);
  // Receives the bytes of one read at a time, so that a connection allocates only what has arrived.
  std::span<char> read_space() { return read_space_; }

  size_t buffered_bytes() const { return buffered_bytes_; }
  size_t connection_count() const { return connections_.size(); }

  // Called by Connection only: its entry in the list of open connections, and its buffered bytes.
  using Entry = std::list<Connection*>::iterator;
  Entry add_connection(Connection& connection);
  void remove_connection(Entry entry);
  void mark_active(Entry entry) { connections_.splice(connections_.end(), connections_, entry); }
  void mark_least_recently_active(Entry entry) {
    connections_.splice(connections_.begin(), connections_, entry);
  }
  void update_buffered_bytes(size_t bytes_before, size_t bytes_now) {
    buffered_bytes_ += bytes_now - bytes_before;
  }

 protected:
  void onBusy() override;
  void onTimeout() override { end_turn(); }

 private:
  void end_turn();
  Connection* find_first_to_evict(bool only_clients) const;  // null: none is evictable
  Connection* find_first_to_reclaim() const;                 // null: nothing can be reclaimed

  WakeTimer wake_timer_{*this};
  TimePoint now_;
  bool is_turn_open_ = false;
  std::list<Connection*> connections_;  // the least recently active first
  int client_count_ = 0, max_descriptors_ = 1024;
  size_t buffered_bytes_ = 0, max_buffered_bytes_ = size_t{16} * 1024 * 1024;
  std::vector<std::unique_ptr<Connection>> to_destroy_;
  // Holds several messages.
  static constexpr size_t kReadBytes = size_t{16} * 1024;
  std::array<char, kReadBytes> read_space_{};
};

}  // namespace firvalve::net
