// What whoever receives acts of duties keeps of them: the highest epoch of each, so that a holder that woke
// late is refused.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/injected_bug.h"

namespace firvalve::lease {

class Fence {
 public:
  // Whether an act under this epoch is taken.
  bool pass(const std::string& duty, uint64_t epoch) {
    uint64_t& highest = highest_[duty];
    if (epoch < highest && !is_injected(InjectedBug::kNoEpochCheck)) return false;
    highest = epoch > highest ? epoch : highest;
    return true;
  }
  uint64_t highest(const std::string& duty) const {
    const auto at = highest_.find(duty);
    return at == highest_.end() ? 0 : at->second;
  }
  void forget(const std::string& duty) { highest_.erase(duty); }

 private:
  std::map<std::string, uint64_t> highest_;
};

}  // namespace firvalve::lease
