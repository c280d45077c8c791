// Commands for one gateway, through the client library: at a steady rate, or a number that stays in hand.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "client/client.h"

namespace firvalve::loadtest {

// Short commands at a steady rate, from its start until it is destroyed.
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

// So many commands that are taken and not answered for as long as this object lives.
class CommandsInHand {
 public:
  CommandsInHand(const std::string& gateway, int count, uint64_t seed);
  uint64_t open() const { return client_.stats().open; }

 private:
  client::Client client_;
};

}  // namespace firvalve::loadtest
