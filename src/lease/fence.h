// Fence: the check of fencing tokens at a receiver of requests from lease holders. It remembers the highest
// epoch of each lease, so that a holder that was paused past its lease is refused.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/injected_bug.h"

namespace firvalve::lease {

class Fence {
 public:
  // Whether a request under this epoch is to be served.
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
