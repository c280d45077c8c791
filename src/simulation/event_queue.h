// Event queue of a discrete-event simulation, ordered by time; events at the same time leave in the order in
// which they were pushed. A 4-ary heap in one vector: no allocation once the vector has grown, and few cache
// lines touched for each operation.
#pragma once

#include <cstdint>
#include <vector>

#include "base/units.h"

namespace firvalve::simulation {

template <class Event>
class EventQueue {
 public:
  void push(Ms at, const Event& event) {
    heap_.push_back({at, ++last_number_, event});
    size_t here = heap_.size() - 1;
    const Entry entry = heap_[here];
    while (here > 0) {
      const size_t parent = (here - 1) / kArity;
      if (!is_before(entry, heap_[parent])) break;
      heap_[here] = heap_[parent];
      here = parent;
    }
    heap_[here] = entry;
  }
  bool empty() const { return heap_.empty(); }
  size_t size() const { return heap_.size(); }
  // next_at() and pop() require a non-empty queue.
  Ms next_at() const { return heap_.front().at; }
  Event pop() {
    const Event event = heap_.front().event;
    const Entry last = heap_.back();
    heap_.pop_back();
    if (!heap_.empty()) sift_down(last);
    return event;
  }
  void reserve(size_t events) { heap_.reserve(events); }

 private:
  static constexpr size_t kArity = 4;
  struct Entry {
    Ms at = 0;
    uint64_t number = 0;
    Event event{};
  };
  static bool is_before(const Entry& a, const Entry& b) {
    return a.at != b.at ? a.at < b.at : a.number < b.number;
  }

  void sift_down(const Entry& entry) {
    size_t here = 0;
    for (;;) {
      const size_t first = here * kArity + 1;
      if (first >= heap_.size()) break;
      size_t best = first;
      for (size_t i = first + 1; i < first + kArity && i < heap_.size(); ++i)
        if (is_before(heap_[i], heap_[best])) best = i;
      if (!is_before(heap_[best], entry)) break;
      heap_[here] = heap_[best];
      here = best;
    }
    heap_[here] = entry;
  }

  std::vector<Entry> heap_;
  uint64_t last_number_ = 0;
};

}  // namespace firvalve::simulation
