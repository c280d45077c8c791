// Fence: checks the fencing tokens (lease epochs) of requests that lease holders send to this process. It
// remembers the highest epoch of each lease and rejects older ones, so that a holder that was paused until
// after its lease had passed to another cannot act any more.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/injected_bug.h"

namespace firvalve::lease {

class Fence {
 public:
  // Returns whether to serve a request sent under `epoch`, and records the epoch.
  bool admits(const std::string& lease, uint64_t epoch) {
    uint64_t& highest = highest_epochs_[lease];
    if (epoch < highest && !is_injected(InjectedBug::kSkipFencingCheck)) return false;
    highest = epoch > highest ? epoch : highest;
    return true;
  }

 private:
  std::map<std::string, uint64_t> highest_epochs_;
};

}  // namespace firvalve::lease
