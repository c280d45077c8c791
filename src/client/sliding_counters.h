// Two counters over a sliding time window, in constant memory. No I/O; time is a parameter.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace firvalve::client {

// The window is divided into 32 slots. lower_bound() excludes the slot that has partly left the window and
// upper_bound() includes it, so that callers can err on the safe side.
class SlidingCounters {
 public:
  enum Counter : size_t { kFirst, kSecond };

  explicit SlidingCounters(Duration window) : slot_(window / static_cast<double>(kSlots)) {}
  void add(TimePoint now, Counter counter);
  uint64_t lower_bound(TimePoint now, Counter counter) const;  // at most the exact count
  uint64_t upper_bound(TimePoint now, Counter counter) const;  // at least the exact count

 private:
  static constexpr int64_t kSlots = 32;
  struct Slot {
    std::optional<int64_t> number;  // since the clock's epoch; empty: never used
    std::array<uint64_t, 2> counts{};
  };
  int64_t slot_number(TimePoint now) const;
  uint64_t sum_of_last(int64_t slots, TimePoint now, Counter counter) const;

  Duration slot_;
  std::array<Slot, kSlots + 1> slots_{};
};

}  // namespace firvalve::client
