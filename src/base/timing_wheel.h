// A hierarchical timer wheel: nodes that are due at a time, put in, moved and taken out in constant time,
// without allocation. Times are in ticks from 1; a node in the past is due at once. A node belongs to at most
// one wheel and takes itself out when it ends.
//
// Four levels of 256 slots: a node lies in the level whose slots are just fine enough to tell it from the
// present, and moves down as its time comes near. What lies further off than 2^32 ticks waits in the last
// slot of all and is looked at again there.
#pragma once

#include <array>
#include <bit>
#include <boost/intrusive/list.hpp>
#include <cstdint>

namespace firvalve::base {

struct TimingWheelNode
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  uint64_t due = 0;
};

class TimingWheel {
 public:
  explicit TimingWheel(uint64_t now = 1) : now_(now) {}

  void schedule(TimingWheelNode& node, uint64_t due) {
    node.unlink();
    node.due = due;
    place(node);
  }
  static void cancel(TimingWheelNode& node) { node.unlink(); }

  // Goes on to `now` and hands out each node that is due by then, in the order of their ticks. `fire` may put
  // nodes in and take them out, the handed one too, which is out of the wheel by then.
  template <class Fire>
  void advance(uint64_t now, Fire&& fire) {
    for (;;) {
      while (!due_.empty()) {
        TimingWheelNode& node = due_.front();
        node.unlink();
        fire(node);
      }
      if (now_ >= now) return;
      step(now);
    }
  }

  // No node is due before it; 0: there is no node. May be sooner than the first: then advance() finds nothing
  // and the next answer is nearer.
  uint64_t next() const {
    if (!due_.empty()) return now_;
    uint64_t best = 0;
    for (int level = 0; level < kLevels; ++level) {
      const uint64_t at = first_in(level);
      if (at != 0 && (best == 0 || at < best)) best = at;
    }
    return best;
  }

 private:
  using List = boost::intrusive::list<TimingWheelNode, boost::intrusive::constant_time_size<false>>;
  static constexpr int kLevels = 4, kBits = 8;
  static constexpr uint64_t kSlots = 1 << kBits;

  static uint64_t span(int level) { return uint64_t{1} << (kBits * level); }

  void place(TimingWheelNode& node) {
    if (node.due <= now_) return due_.push_back(node);
    const uint64_t far = node.due - now_;
    int level = 0;
    while (level + 1 < kLevels && far >= span(level + 1)) ++level;
    // Past the end of all levels: the slot that comes last.
    const uint64_t at = far < span(kLevels) ? node.due : now_ + span(kLevels) - 1;
    const uint64_t slot = (at >> (kBits * level)) & (kSlots - 1);
    slots_[static_cast<size_t>(level)][slot].push_back(node);
    marks_[static_cast<size_t>(level)][slot / 64] |= uint64_t{1} << (slot % 64);
  }

  // Where the first slot of the level that holds anything begins, after now; 0: all are empty. Looks at the
  // slots that may hold something alone: nodes leave without a word, so a mark may be left over, never
  // missing.
  uint64_t first_in(int level) const {
    auto& marks = marks_[static_cast<size_t>(level)];
    const uint64_t here = now_ >> (kBits * level);
    for (uint64_t n = 1; n <= kSlots;) {
      const uint64_t slot = (here + n) & (kSlots - 1);
      const uint64_t word = marks[slot / 64] >> (slot % 64);
      if (word == 0) {
        n += 64 - slot % 64;
        continue;
      }
      const auto ahead = static_cast<uint64_t>(std::countr_zero(word));
      n += ahead;
      if (n > kSlots) return 0;
      if (!slots_[static_cast<size_t>(level)][(here + n) & (kSlots - 1)].empty())
        return (here + n) << (kBits * level);
      marks[(slot + ahead) / 64] &= ~(uint64_t{1} << ((slot + ahead) % 64));
    }
    return 0;
  }

  // To the next moment at which a slot begins that holds anything, or to `until`.
  void step(uint64_t until) {
    const uint64_t first = next();
    if (first == 0 || first > until) {
      now_ = until;
      return;
    }
    now_ = first;
    for (int level = kLevels - 1; level >= 0; --level) {
      if ((now_ & (span(level) - 1)) != 0) continue;  // no slot of this level begins here
      List& slot = slots_[static_cast<size_t>(level)][(now_ >> (kBits * level)) & (kSlots - 1)];
      List here;
      here.swap(slot);
      while (!here.empty()) {
        TimingWheelNode& node = here.front();
        node.unlink();
        place(node);
      }
    }
  }

  uint64_t now_;
  std::array<std::array<List, kSlots>, kLevels> slots_;
  mutable std::array<std::array<uint64_t, kSlots / 64>, kLevels> marks_{};  // slots that may hold something
  List due_;
};

}  // namespace firvalve::base
