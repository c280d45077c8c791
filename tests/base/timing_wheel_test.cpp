// Timer order and deadlines of the timing wheel, also compared with a plain map.
#include "base/timing_wheel.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <set>

namespace firvalve::base {
namespace {

struct Node : TimingWheelNode {
  int number = 0;
};

TEST(TimingWheel, NodeScheduledInThePastIsDueAtOnce) {
  TimingWheel wheel(1000);
  Node node;
  wheel.schedule(node, 500);
  EXPECT_EQ(wheel.next(), 1000u);
  int fired = 0;
  wheel.advance(1000, [&](TimingWheelNode&) { ++fired; });
  EXPECT_EQ(fired, 1);
  EXPECT_EQ(wheel.next(), 0u);
}

TEST(TimingWheel, DestroyedNodeIsCancelled) {
  TimingWheel wheel;
  {
    Node node;
    wheel.schedule(node, 300);
  }
  wheel.advance(1000, [](TimingWheelNode&) { FAIL(); });
}

TEST(TimingWheel, NodeBeyondAllLevelsFiresAtItsDueTime) {
  TimingWheel wheel;
  Node node;
  const uint64_t due = (uint64_t{1} << 32) + 12345;
  wheel.schedule(node, due);
  bool fired = false;
  wheel.advance(due - 1, [&](TimingWheelNode&) { fired = true; });
  EXPECT_FALSE(fired);
  wheel.advance(due, [&](TimingWheelNode&) { fired = true; });
  EXPECT_TRUE(fired);
}

// Compares the wheel with a plain map over random operations: the same nodes must fire at each advance, and
// next() must never be later than the earliest due time.
RC_GTEST_PROP(WheelProperty, BehavesLikeAPlainMap, (const std::vector<std::pair<uint8_t, uint32_t>>& steps)) {
  TimingWheel wheel;
  std::deque<Node> nodes;
  std::map<int, uint64_t> expected_due;
  uint64_t now = 1;
  for (const auto& [operation, argument] : steps) {
    switch (operation % 4) {
      case 0:
      case 1: {
        nodes.emplace_back().number = static_cast<int>(nodes.size());
        const uint64_t due = now + argument % (operation % 8 < 4 ? 70000u : 300u);
        wheel.schedule(nodes.back(), due);
        expected_due[nodes.back().number] = due;
        break;
      }
      case 2: {
        if (nodes.empty()) break;
        Node& node = nodes[argument % nodes.size()];
        if (argument % 3 == 0) {
          TimingWheel::cancel(node);
          expected_due.erase(node.number);
        } else {
          wheel.schedule(node, now + argument % 1000);
          expected_due[node.number] = now + argument % 1000;
        }
        break;
      }
      case 3: {
        now += argument % 20000;
        std::set<int> fired, expected;
        uint64_t last = 0;
        wheel.advance(now, [&](TimingWheelNode& node) {
          RC_ASSERT(node.due >= last || node.due + 1 >= last);
          fired.insert(static_cast<Node&>(node).number);
        });
        for (auto at = expected_due.begin(); at != expected_due.end();) {
          if (at->second > now) {
            ++at;
            continue;
          }
          expected.insert(at->first);
          at = expected_due.erase(at);
        }
        RC_ASSERT(fired == expected);
        break;
      }
    }
    uint64_t earliest = UINT64_MAX;
    for (const auto& [number, due] : expected_due) earliest = std::min(earliest, std::max(due, now));
    RC_ASSERT((wheel.next() == 0) == expected_due.empty());
    if (!expected_due.empty()) RC_ASSERT(wheel.next() <= earliest);
  }
}

}  // namespace
}  // namespace firvalve::base
