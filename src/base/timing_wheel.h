// A hierarchical timing wheel: schedules, moves and cancels timer nodes in constant time, without allocation.
// Times are in ticks, from 1. A node whose time has passed is due at once. A node belongs to at most one
// wheel and removes itself from it on destruction.
//
// There are four levels of 256 slots each, and a slot of a level spans 256 slots of the level below. A node
// is stored in the lowest level that reaches as far as its due time, and moves down as that time approaches.
// A node more than 2^32 ticks ahead waits in the last slot of the top level and is placed again from there.
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

  // Advances the wheel to `now` and calls fire(node) for each node that is due by then, in the order of their
  // ticks. A node is removed from the wheel before it fires. `fire` may schedule and cancel any node,
  // including the one that fires.
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

  // A lower bound for the earliest due tick; 0 if the wheel is empty. If no node is due at the returned tick,
  // advance() to it fires nothing, and the next bound is closer.
  uint64_t next() const {
    if (!due_.empty()) return now_;
    uint64_t best = 0;
    for (int level = 0; level < kLevels; ++level) {
      const uint64_t at = next_occupied(level);
      if (at != 0 && (best == 0 || at < best)) best = at;
    }
    return best;
  }

 private:
  using List = boost::intrusive::list<TimingWheelNode, boost::intrusive::constant_time_size<false>>;
  static constexpr int kLevels = 4, kBitsPerLevel = 8;
  static constexpr uint64_t kSlots = 1 << kBitsPerLevel;

  // The ticks that one slot of the level spans.
  static uint64_t span(int level) { return uint64_t{1} << (kBitsPerLevel * level); }

  void place(TimingWheelNode& node) {
    if (node.due <= now_) return due_.push_back(node);
    const uint64_t distance = node.due - now_;
    int level = 0;
    while (level + 1 < kLevels && distance >= span(level + 1)) ++level;
    // Beyond the range of all levels: use the last slot of the top level.
    const uint64_t at = distance < span(kLevels) ? node.due : now_ + span(kLevels) - 1;
    const uint64_t slot = (at >> (kBitsPerLevel * level)) & (kSlots - 1);
    slots_[static_cast<size_t>(level)][slot].push_back(node);
    occupied_[static_cast<size_t>(level)][slot / 64] |= uint64_t{1} << (slot % 64);
  }

  // The tick at which the first non-empty slot of the level after now begins; 0 if all are empty. Checks only
  // slots whose occupied bit is set. A node unlinks without clearing the bit, so a set bit may be stale, but
  // none is missing; stale bits are cleared here.
  uint64_t next_occupied(int level) const {
    auto& occupied = occupied_[static_cast<size_t>(level)];
    const uint64_t current_slot = now_ >> (kBitsPerLevel * level);
    for (uint64_t offset = 1; offset <= kSlots;) {
      const uint64_t slot = (current_slot + offset) & (kSlots - 1);
      const uint64_t word = occupied[slot / 64] >> (slot % 64);
      if (word == 0) {
        offset += 64 - slot % 64;
        continue;
      }
      const auto ahead = static_cast<uint64_t>(std::countr_zero(word));
      offset += ahead;
      if (offset > kSlots) return 0;
      if (!slots_[static_cast<size_t>(level)][(current_slot + offset) & (kSlots - 1)].empty())
        return (current_slot + offset) << (kBitsPerLevel * level);
      occupied[(slot + ahead) / 64] &= ~(uint64_t{1} << ((slot + ahead) % 64));
    }
    return 0;
  }

  // Advances to the start of the next non-empty slot, at most to `until`, and redistributes the nodes of the
  // slots that begin there.
  void step(uint64_t until) {
    const uint64_t first = next();
    if (first == 0 || first > until) {
      now_ = until;
      return;
    }
    now_ = first;
    for (int level = kLevels - 1; level >= 0; --level) {
      if ((now_ & (span(level) - 1)) != 0) continue;  // no slot of this level begins here
      List& slot = slots_[static_cast<size_t>(level)][(now_ >> (kBitsPerLevel * level)) & (kSlots - 1)];
      List moved;
      moved.swap(slot);
      while (!moved.empty()) {
        TimingWheelNode& node = moved.front();
        node.unlink();
        place(node);
      }
    }
  }

  uint64_t now_;
  std::array<std::array<List, kSlots>, kLevels> slots_;
  // One bit per slot, set if the slot may hold nodes.
  mutable std::array<std::array<uint64_t, kSlots / 64>, kLevels> occupied_{};
  List due_;
};

}  // namespace firvalve::base
