// The reactor's turns: sockets are heard first, then what is due, then the decisions, once. And the two
// accounts that all links share: of descriptors and of buffered bytes.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "base/units.h"
#include "net/wake_timer.h"

namespace firvalve::net {

class Connection;

class Loop : public Poco::Net::SocketReactor {
 public:
  // Called at the end of each turn; returns the next moment that something is due, 0: nothing is.
  std::function<Ms(Ms)> on_turn;

  // By monotonic_ms(): no step of the wall clock moves it. One value for the whole of a turn.
  Ms now();
  void bury(std::unique_ptr<Connection> link);  // destroyed once nothing of this turn can refer to it

  // The most that all links together may hold: descriptors, and bytes in their buffers.
  void limit(int descriptors, size_t bytes);
  // Whether there is a descriptor for one more link. Where none is left, the idlest link that nothing depends
  // on goes; a new client takes no engine's place once clients hold their third.
  bool room(bool for_client);

  // For links alone: what they hold.
  using Place = std::list<Connection*>::iterator;
  Place enter(Connection& link);
  void leave(Place place);
  void touch(Place place) { links_.splice(links_.end(), links_, place); }    // the least idle now
  void yield(Place place) { links_.splice(links_.begin(), links_, place); }  // the first to go
  void buffered(size_t before, size_t now) { bytes_ += now - before; }

 protected:
  void onBusy() override;
  void onTimeout() override { end_turn(); }

 private:
  void end_turn();
  void shrink();
  Connection* idlest(bool clients_alone, bool with_bytes, bool spare_alone) const;

  WakeTimer wake_timer_{*this};
  Ms now_ = 0;
  bool turn_open_ = false;
  std::list<Connection*> links_;  // the idlest first
  int clients_ = 0, most_descriptors_ = 1024;
  size_t bytes_ = 0, most_bytes_ = 16 * 1024 * 1024;
  std::vector<std::unique_ptr<Connection>> buried_;
};

}  // namespace firvalve::net
