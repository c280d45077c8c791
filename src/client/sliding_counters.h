// Two counters over a sliding time window. No clock, no I/O, bounded memory.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace firvalve::client {

// The window is divided into 32 slots. The slot that has only partly left the window is counted or not, as
// the caller wants, so that a bound can be taken from the safe side.
class SlidingCounters {
 public:
  enum Counter : size_t { kFirst, kSecond };

  explicit SlidingCounters(Duration window) : slot_(window / static_cast<double>(kSlots)) {}
  void add(TimePoint now, Counter counter);
  uint64_t lower_bound(TimePoint now, Counter counter) const;  // at most what the window holds
  uint64_t upper_bound(TimePoint now, Counter counter) const;  // at least what the window holds

 private:
  static constexpr int64_t kSlots = 32;
  struct Slot {
    std::optional<int64_t> number;  // counted from the clock's epoch; nothing: never used
    std::array<uint64_t, 2> counts{};
  };
  int64_t slot_number(TimePoint now) const;
  uint64_t sum_of_last(int64_t slots, TimePoint now, Counter counter) const;

  Duration slot_;
  std::array<Slot, kSlots + 1> slots_{};
};

}  // namespace firvalve::client
