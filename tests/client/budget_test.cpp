#include "client/budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "client/outage.h"

namespace firvalve::client {
namespace {

TEST(RetryBudget, WithoutFirstTriesThereIsNoRepeat) {
  RetryBudget budget(0.1, 10000);
  budget.draw(0, 0.99);
  EXPECT_FALSE(budget.may_repeat(0));
}

TEST(RetryBudget, AShareOfFirstTriesAndTheDrawnRest) {
  RetryBudget budget(0.1, 10000);
  budget.draw(0, 0.5);
  for (int i = 0; i < 5; ++i) budget.first(100);
  EXPECT_TRUE(budget.may_repeat(200));  // 0.5 + 0.5
  EXPECT_FALSE(budget.may_repeat(200, 1));
  budget.repeat(200);
  EXPECT_FALSE(budget.may_repeat(201));
  for (int i = 0; i < 10; ++i) budget.first(300);
  EXPECT_TRUE(budget.may_repeat(301));
}

TEST(RetryBudget, WhatLeftTheWindowCountsNoMore) {
  RetryBudget budget(0.5, 1000);
  budget.draw(0, 0);
  budget.first(0), budget.first(0);
  EXPECT_TRUE(budget.may_repeat(900));
  EXPECT_FALSE(budget.may_repeat(1100));
}

// A hundred clients of which each tries three times in a window: together they may repeat a tenth of that.
TEST(RetryBudget, ManySmallClientsTogetherKeepTheShare) {
  int repeats = 0;
  for (int client = 0; client < 100; ++client) {
    RetryBudget budget(0.1, 10000);
    budget.draw(0, (client + 0.5) / 100);
    for (int i = 0; i < 3; ++i) budget.first(10 * i);
    for (; budget.may_repeat(50); ++repeats) budget.repeat(50);
  }
  EXPECT_EQ(repeats, 30);
}

RC_GTEST_PROP(RetryBudgetProperty, HoldsInTheWindowThatEndsWithAnyRepeat,
              (const std::vector<std::pair<uint16_t, bool>>& events)) {
  RetryBudget budget(0.25, 1000);
  budget.draw(0, 0.75);
  std::vector<Ms> firsts, repeats;
  Ms now = 5000;
  for (const auto& [wait, first] : events) {
    now += wait % 200;
    if (first) {
      budget.first(now);
      firsts.push_back(now);
    } else if (budget.may_repeat(now)) {
      budget.repeat(now);
      repeats.push_back(now);
      const auto in = [&](const std::vector<Ms>& all) {
        return std::count_if(all.begin(), all.end(), [&](Ms t) { return t >= now - 1000; });
      };
      RC_ASSERT(static_cast<double>(in(repeats)) <= 0.25 * static_cast<double>(in(firsts)) + 0.75);
    }
  }
}

TEST(Throttle, StopsNothingWhileHalfIsTaken) {
  Throttle t(10000);
  for (int i = 0; i < 50; ++i) t.refused(100), t.taken(100);
  EXPECT_EQ(t.stop_chance(100), 0);
}

TEST(Throttle, FewRefusalsTellNothingManyStopMost) {
  Throttle t(10000);
  for (int i = 0; i < 9; ++i) t.refused(100);
  EXPECT_EQ(t.stop_chance(100), 0);
  for (int i = 0; i < 90; ++i) t.refused(100);
  EXPECT_GT(t.stop_chance(100), 0.9);
  for (int i = 0; i < 100; ++i) t.taken(200);
  EXPECT_EQ(t.stop_chance(200), 0);
  EXPECT_EQ(t.stop_chance(30000), 0);
}

Loss loss(Loss::How how, int calls = 0) {
  Loss l;
  l.how = how;
  l.calls = calls;
  return l;
}

TEST(Outage, OneResetConnectionIsNone) { EXPECT_FALSE(is_outage(loss(Loss::How::kReset, 1), {})); }

TEST(Outage, AResetWithManyCallsOrBesideAnotherLossIsOne) {
  EXPECT_TRUE(is_outage(loss(Loss::How::kReset, 3), {}));
  Loss l = loss(Loss::How::kReset, 1);
  l.gateway_lost = true;
  EXPECT_TRUE(is_outage(l, {}));
  l.gateway_lost = false;
  l.others_lost = true;
  EXPECT_TRUE(is_outage(l, {}));
}

TEST(Outage, AGatewayThatClosesWithCallsOpenOrBeforeItsTimeIsEnding) {
  EXPECT_TRUE(is_outage(loss(Loss::How::kClosed, 1), {}));
  Loss l = loss(Loss::How::kClosed);
  l.rested = 100;
  EXPECT_TRUE(is_outage(l, {}));
  l.rested = 4000;  // an idle close
  EXPECT_FALSE(is_outage(l, {}));
  l.rested = 100;
  l.others_up = 1;  // it ended one for want of room
  EXPECT_FALSE(is_outage(l, {}));
}

TEST(Outage, ARefusalBesideAConnectionThatIsUpIsNone) {
  EXPECT_TRUE(is_outage(loss(Loss::How::kRefused), {}));
  Loss l = loss(Loss::How::kRefused);
  l.others_up = 1;
  EXPECT_FALSE(is_outage(l, {}));
}

TEST(Standing, TheSpanDoublesToItsEndAndIsForgottenAfterAGoodTime) {
  SpreadOptions options;
  options.spread = 1000;
  options.spread_most = 3000;
  Standing s(options);
  s.leave(0, 0.5);
  EXPECT_EQ(s.try_at(), 500);
  s.trying();
  s.leave(500, 0.5);
  EXPECT_EQ(s.try_at(), 1500);
  s.trying();
  s.leave(1500, 0.5);
  EXPECT_EQ(s.try_at(), 3000);
  s.trying();
  s.came_back(3000);
  s.leave(3100, 0.5);  // at once: it has not come back
  EXPECT_EQ(s.try_at(), 4600);
  s.came_back(5000);
  s.leave(20000, 0.5);
  EXPECT_EQ(s.try_at(), 20500);
}

}  // namespace
}  // namespace firvalve::client
