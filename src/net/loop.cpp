#include "net/loop.h"

#include <cmath>

#include "base/monotonic_clock.h"
#include "net/connection.h"

namespace firvalve::net {

Ms Loop::now() {
  if (now_ == 0 || !turn_open_) {
    now_ = monotonic_ms();
    turn_open_ = true;
  }
  return now_;
}

void Loop::limit(int descriptors, size_t bytes) {
  most_descriptors_ = descriptors;
  most_bytes_ = bytes;
}

Loop::Place Loop::enter(Connection& link) {
  clients_ += link.from_client();
  return links_.insert(links_.end(), &link);
}

void Loop::leave(Place place) {
  clients_ -= (*place)->from_client();
  links_.erase(place);
}

Connection* Loop::idlest(bool clients_alone, bool with_bytes, bool spare_alone) const {
  for (Connection* const link : links_)
    if ((!clients_alone || link->from_client()) && (!with_bytes || link->held() > 0) &&
        (!spare_alone || link->spare()))
      return link;
  return nullptr;
}

// Guards against peers that connect and stay, or connect by hundreds: without a descriptor nobody is served.
// It may cost a peer that would have spoken again a new connection.
bool Loop::room(bool for_client) {
  const auto most = static_cast<size_t>(most_descriptors_);
  if (links_.size() < most) return true;
  Connection* const goes = idlest(for_client && clients_ * 3 >= most_descriptors_, false, true);
  if (!goes) return false;
  goes->spared();
  return links_.size() < most;
}

// Guards the memory limit against clients that send half a message and wait, or do not read what they asked
// for: the idlest goes, those without a command in hand first.
void Loop::shrink() {
  while (bytes_ > most_bytes_) {
    Connection* goes = idlest(true, true, true);
    if (!goes) goes = idlest(true, true, false);
    if (!goes) return;
    goes->spared();
  }
}

void Loop::bury(std::unique_ptr<Connection> link) { buried_.push_back(std::move(link)); }

// The reactor calls this before it hands out a turn's events. The turn before is ended here, when its events
// were followed by others at once, so that decisions never wait for a quiet moment.
void Loop::onBusy() {
  if (turn_open_) end_turn();
  setTimeout(Poco::Timespan(0));
}

void Loop::end_turn() {
  turn_open_ = false;
  shrink();
  const Ms due = on_turn ? on_turn(now()) : 0;
  turn_open_ = false;
  buried_.clear();
  constexpr Ms kLongest = 1000;  // nothing is due: an idle look a second
  const Ms wait = due > 0 ? std::clamp(due - now(), 0.0, kLongest) : kLongest;
  if (wait > 0) wake_timer_.ensure(now(), now() + wait);
  turn_open_ = false;
  setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(std::ceil(wait) * 1000)));
}

}  // namespace firvalve::net
