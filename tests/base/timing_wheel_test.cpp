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

TEST(TimingWheel, WhatIsInThePastIsDueAtOnce) {
  TimingWheel wheel(1000);
  Node node;
  wheel.schedule(node, 500);
  EXPECT_EQ(wheel.next(), 1000u);
  int fired = 0;
  wheel.advance(1000, [&](TimingWheelNode&) { ++fired; });
  EXPECT_EQ(fired, 1);
  EXPECT_EQ(wheel.next(), 0u);
}

TEST(TimingWheel, ANodeTakesItselfOutAtItsEnd) {
  TimingWheel wheel;
  {
    Node node;
    wheel.schedule(node, 300);
  }
  wheel.advance(1000, [](TimingWheelNode&) { FAIL(); });
}

TEST(TimingWheel, WhatLiesPastAllLevelsIsStillDueInItsTime) {
  TimingWheel wheel;
  Node node;
  const uint64_t far = (uint64_t{1} << 32) + 12345;
  wheel.schedule(node, far);
  bool fired = false;
  wheel.advance(far - 1, [&](TimingWheelNode&) { fired = true; });
  EXPECT_FALSE(fired);
  wheel.advance(far, [&](TimingWheelNode&) { fired = true; });
  EXPECT_TRUE(fired);
}

// Against a plain map: the same nodes come out at the same advances, and next() is never too late.
RC_GTEST_PROP(WheelProperty, DoesAsAMapDoes, (const std::vector<std::pair<uint8_t, uint32_t>>& steps)) {
  TimingWheel wheel;
  std::deque<Node> nodes;
  std::map<int, uint64_t> plain;
  uint64_t now = 1;
  for (const auto& [what, how] : steps) {
    switch (what % 4) {
      case 0:
      case 1: {
        nodes.emplace_back().number = static_cast<int>(nodes.size());
        const uint64_t due = now + how % (what % 8 < 4 ? 70000u : 300u);
        wheel.schedule(nodes.back(), due);
        plain[nodes.back().number] = due;
        break;
      }
      case 2: {
        if (nodes.empty()) break;
        Node& node = nodes[how % nodes.size()];
        if (how % 3 == 0) {
          TimingWheel::cancel(node);
          plain.erase(node.number);
        } else {
          wheel.schedule(node, now + how % 1000);
          plain[node.number] = now + how % 1000;
        }
        break;
      }
      case 3: {
        now += how % 20000;
        std::set<int> came, wanted;
        uint64_t last = 0;
        wheel.advance(now, [&](TimingWheelNode& node) {
          RC_ASSERT(node.due >= last || node.due + 1 >= last);
          came.insert(static_cast<Node&>(node).number);
        });
        for (auto at = plain.begin(); at != plain.end();) {
          if (at->second > now) {
            ++at;
            continue;
          }
          wanted.insert(at->first);
          at = plain.erase(at);
        }
        RC_ASSERT(came == wanted);
        break;
      }
    }
    uint64_t first = UINT64_MAX;
    for (const auto& [number, due] : plain) first = std::min(first, std::max(due, now));
    RC_ASSERT((wheel.next() == 0) == plain.empty());
    if (!plain.empty()) RC_ASSERT(wheel.next() <= first);
  }
}

}  // namespace
}  // namespace firvalve::base
