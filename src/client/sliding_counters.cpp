// Counts events in a ring of time slots.
#include "client/sliding_counters.h"

#include <cmath>

namespace firvalve::client {

int64_t SlidingCounters::slot_number(TimePoint now) const {
  return static_cast<int64_t>(std::floor(now.time_since_epoch() / slot_));
}

void SlidingCounters::add(TimePoint now, Counter counter) {
  const int64_t number = slot_number(now);
  Slot& slot = slots_[static_cast<size_t>(number % (kSlots + 1))];
  if (slot.number != number) slot = {number, {}};
  slot.counts[counter] += 1;
}

uint64_t SlidingCounters::sum_of_last(int64_t slots, TimePoint now, Counter counter) const {
  const int64_t last = slot_number(now);
  uint64_t sum = 0;
  for (const Slot& slot : slots_)
    if (slot.number && *slot.number > last - slots && *slot.number <= last) sum += slot.counts[counter];
  return sum;
}

uint64_t SlidingCounters::lower_bound(TimePoint now, Counter counter) const {
  return sum_of_last(kSlots, now, counter);
}
uint64_t SlidingCounters::upper_bound(TimePoint now, Counter counter) const {
  return sum_of_last(kSlots + 1, now, counter);
}

}  // namespace firvalve::client
