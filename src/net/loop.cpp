#include "net/loop.h"

#include <algorithm>
#include <cmath>

#include "net/buffer_reclaim.h"
#include "net/connection.h"

namespace firvalve::net {

using namespace std::chrono_literals;

TimePoint Loop::now() {
  if (!is_turn_open_) {
    now_ = MonotonicClock::now();
    is_turn_open_ = true;
  }
  return now_;
}

void Loop::set_limits(int max_descriptors, size_t max_buffered_bytes) {
  max_descriptors_ = max_descriptors;
  max_buffered_bytes_ = max_buffered_bytes;
}

Loop::Entry Loop::add_connection(Connection& connection) {
  client_count_ += connection.is_from_client() ? 1 : 0;
  return connections_.insert(connections_.end(), &connection);
}

void Loop::remove_connection(Entry entry) {
  client_count_ -= (*entry)->is_from_client() ? 1 : 0;
  connections_.erase(entry);
}

Connection* Loop::find_first_to_evict(bool only_clients) const {
  Connection* in_message = nullptr;
  for (Connection* const connection : connections_) {
    if (only_clients && !connection->is_from_client()) continue;
    const bool is_in_message = connection->is_receiving_message();
    if (is_in_message && in_message) continue;
    if (!connection->is_evictable()) continue;
    if (!is_in_message) return connection;
    in_message = connection;
  }
  return in_message;
}

// Guards against peers that keep connections open without using them, or open hundreds at once: without a
// free descriptor no new connection can be served. An evicted peer that had more to send must reconnect.
bool Loop::reserve_descriptor(bool for_client) {
  const auto limit = static_cast<size_t>(max_descriptors_);
  if (connections_.size() < limit) return true;
  const bool only_clients = for_client && client_count_ * 3 >= max_descriptors_;
  Connection* const evicted = find_first_to_evict(only_clients);
  if (!evicted) return false;
  evicted->evict(Connection::EvictionReason::kDescriptorLimit);
  return connections_.size() < limit;
}

Connection* Loop::find_first_to_reclaim() const {
  const size_t fair_share = max_buffered_bytes_ / static_cast<size_t>(std::max(client_count_, 1));
  Connection* first = nullptr;
  ReclaimPriority first_priority;
  for (Connection* const connection : connections_) {
    if (connection->buffered_bytes() == 0) continue;
    if (!connection->is_from_client() && !connection->is_evictable()) continue;
    const ReclaimPriority priority =
        reclaim_priority({connection->buffered_bytes(), connection->can_discard_message()}, fair_share);
    if (first && priority <= first_priority) continue;
    first = connection;
    first_priority = priority;
  }
  return first;
}

// Guards the memory limit against clients that send part of a message and stop, or do not read their answers:
// their messages are dropped, or else their connections closed (buffer_reclaim.h). So are connections of
// peers that have not identified themselves.
void Loop::make_room(size_t bytes) {
  while (buffered_bytes_ + bytes > max_buffered_bytes_) {
    Connection* const connection = find_first_to_reclaim();
    if (!connection) return;
    if (connection->can_discard_message())
      connection->discard_incomplete_message();
    else
      connection->evict(Connection::EvictionReason::kMemoryLimit);
  }
}

void Loop::destroy_after_turn(std::unique_ptr<Connection> connection) {
  to_destroy_.push_back(std::move(connection));
}

// The reactor calls this before it dispatches the events of a turn. It calls onTimeout() only if no event
// arrives, so under steady load the previous turn ends here and on_turn is not delayed.
void Loop::onBusy() {
  if (is_turn_open_) end_turn();
  setTimeout(Poco::Timespan(0));
}

void Loop::end_turn() {
  is_turn_open_ = false;
  make_room(0);  // for what was written in this turn
  const std::optional<TimePoint> due_at = on_turn ? on_turn(now()) : std::nullopt;
  is_turn_open_ = false;
  to_destroy_.clear();
  constexpr Duration kMaxWait = 1000ms;  // also used if nothing is due
  const Duration wait = due_at ? std::clamp<Duration>(*due_at - now(), Duration::zero(), kMaxWait) : kMaxWait;
  if (wait > Duration::zero()) wake_timer_.arm(now(), now() + wait);
  is_turn_open_ = false;
  setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(std::ceil(to_ms(wait)) * 1000)));
}

}  // namespace firvalve::net
