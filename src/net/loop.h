// The reactor's turns: sockets are heard first, then what is due, then the decisions, once.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <functional>
#include <memory>
#include <vector>

#include "rules.h"

namespace firvalve::net {

class Link;

class Loop : public Poco::Net::SocketReactor {
 public:
  // Called at the end of each turn; returns the next moment that something is due, 0: nothing is.
  std::function<Ms(Ms)> on_turn;

  Ms now();                               // Unix time, never backwards; one value for the whole of a turn
  void bury(std::unique_ptr<Link> link);  // destroyed once nothing of this turn can refer to it
  void count(int descriptors) { descriptors_ += descriptors; }
  int descriptors() const { return descriptors_; }

 protected:
  void onBusy() override;
  void onTimeout() override { end_turn(); }

 private:
  void end_turn();

  Ms now_ = 0;
  bool turn_open_ = false;
  int descriptors_ = 0;
  std::vector<std::unique_ptr<Link>> buried_;
};

}  // namespace firvalve::net
