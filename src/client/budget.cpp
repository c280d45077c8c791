#include "client/budget.h"

#include <algorithm>
#include <cmath>

namespace firvalve::client {
namespace {

constexpr double kTakenWeight = 2;    // times what was taken: refusals of up to half stop nothing
constexpr uint64_t kCallsLeast = 10;  // fewer tell nothing

}  // namespace

int64_t SlidingCounts::number_of(Ms now) const { return static_cast<int64_t>(std::floor(now / slot_)); }

void SlidingCounts::add(Ms now, int what, uint64_t count) {
  const int64_t number = number_of(now);
  Slot& slot = slots_[static_cast<size_t>(number % (kSlots + 1))];
  if (slot.number != number) slot = {number, {}};
  slot.count[static_cast<size_t>(what)] += count;
}

uint64_t SlidingCounts::sum(Ms now, int what, int64_t slots) const {
  const int64_t last = number_of(now);
  uint64_t all = 0;
  for (const Slot& slot : slots_)
    if (slot.number > last - slots && slot.number <= last) all += slot.count[static_cast<size_t>(what)];
  return all;
}

uint64_t SlidingCounts::within(Ms now, int what) const { return sum(now, what, kSlots); }
uint64_t SlidingCounts::touching(Ms now, int what) const { return sum(now, what, kSlots + 1); }

bool RetryBudget::may_repeat(Ms now, uint64_t reserved) const {
  const auto repeats = static_cast<double>(counts_.touching(now, kRepeat) + reserved + 1);
  return repeats <= share_ * static_cast<double>(counts_.within(now, kFirst)) + rounding_;
}

double Throttle::stop_chance(Ms now) const {
  const uint64_t all = counts_.within(now, kAll), taken = counts_.within(now, kTaken);
  if (all < kCallsLeast) return 0;
  return std::max(0.0, (static_cast<double>(all) - kTakenWeight * static_cast<double>(taken)) /
                           (static_cast<double>(all) + 1));
}

}  // namespace firvalve::client
