// Sends commands to one gateway through the client library: at a steady rate, or a fixed number that stays in
// flight.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "client/client.h"

namespace firvalve::loadtest {

// Sends short commands at a steady rate from construction until destruction.
class SteadyCommands {
 public:
  SteadyCommands(const std::string& gateway, double per_second, uint64_t seed);
  uint64_t answered() const { return answered_; }
  client::Stats stats() const { return client_.stats(); }

 private:
  void send_until(const std::stop_token& stop);

  const double per_second_;
  std::atomic<uint64_t> answered_ = 0;
  client::Client client_;
  std::jthread sender_;
};

// Sends `count` long commands at construction, which stay in flight until they finish (15 s) or this object
// is destroyed.
class CommandsInHand {
 public:
  CommandsInHand(const std::string& gateway, int count, uint64_t seed);
  uint64_t open() const { return client_.stats().open; }

 private:
  client::Client client_;
};

}  // namespace firvalve::loadtest
