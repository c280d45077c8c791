// The event queue of a world in virtual time: what happens next, and among what happens at one moment, what
// was put in first. A four-way heap in one vector: no allocation once it has grown, few cache lines a step.
#pragma once

#include <cstdint>
#include <vector>

#include "base/units.h"

namespace firvalve::simulation {

template <class Event>
class EventQueue {
 public:
  void put(Ms at, const Event& event) {
    heap_.push_back({at, ++last_, event});
    size_t here = heap_.size() - 1;
    const Entry entry = heap_[here];
    while (here > 0) {
      const size_t above = (here - 1) / kWays;
      if (!sooner(entry, heap_[above])) break;
      heap_[here] = heap_[above];
      here = above;
    }
    heap_[here] = entry;
  }
  bool empty() const { return heap_.empty(); }
  size_t size() const { return heap_.size(); }
  Ms next_at() const { return heap_.front().at; }  // of none: undefined
  Event take() {
    const Event event = heap_.front().event;
    const Entry last = heap_.back();
    heap_.pop_back();
    if (!heap_.empty()) sink(last);
    return event;
  }
  void reserve(size_t events) { heap_.reserve(events); }

 private:
  static constexpr size_t kWays = 4;
  struct Entry {
    Ms at = 0;
    uint64_t number = 0;
    Event event{};
  };
  static bool sooner(const Entry& a, const Entry& b) {
    return a.at != b.at ? a.at < b.at : a.number < b.number;
  }

  void sink(const Entry& entry) {
    size_t here = 0;
    for (;;) {
      const size_t first = here * kWays + 1;
      if (first >= heap_.size()) break;
      size_t best = first;
      for (size_t i = first + 1; i < first + kWays && i < heap_.size(); ++i)
        if (sooner(heap_[i], heap_[best])) best = i;
      if (!sooner(heap_[best], entry)) break;
      heap_[here] = heap_[best];
      here = best;
    }
    heap_[here] = entry;
  }

  std::vector<Entry> heap_;
  uint64_t last_ = 0;
};

}  // namespace firvalve::simulation
