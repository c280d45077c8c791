#include "results/retention.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>

#include "results/sizes.h"

namespace firvalve::results {
namespace {

struct KeepingTest : testing::Test {
  RetentionOptions options = [] {
    RetentionOptions t;
    t.memory = 1000;
    t.lease = 1000;
    return t;
  }();
  std::map<ResultNo, Gone> gone;
  std::optional<Retention> keeping;
  void open() {
    keeping.emplace(options);
    keeping->on_gone = [this](ResultNo no, Gone why) { gone[no] = why; };
  }
  ResultNo kept(const std::string& owner, double bytes, Ms now = 0) {
    const ResultNo no = keeping->reserve(now, owner, bytes);
    if (no == 0) return 0;
    EXPECT_TRUE(keeping->grow(now, no, bytes));
    keeping->whole(now, no);
    return no;
  }
};

TEST_F(KeepingTest, WithoutAPlaceThereIsNone) {
  open();
  const ResultNo a = keeping->reserve(0, "a", 700);
  EXPECT_NE(a, 0u);
  EXPECT_EQ(keeping->reserve(0, "b", 700), 0u);  // it is being filled: nothing of it may go
  keeping->grow(0, a, 100);
  keeping->whole(0, a);  // it was smaller than expected
  EXPECT_NE(keeping->reserve(0, "b", 700), 0u);
  EXPECT_TRUE(gone.empty());
}

TEST_F(KeepingTest, WhoLeavesManyBehindLosesItsOwn) {
  open();
  for (int i = 0; i < 9; ++i) kept("many", 100);
  const ResultNo few = kept("few", 100);
  EXPECT_TRUE(keeping->has(few));
  EXPECT_TRUE(gone.empty());
  for (int i = 0; i < 20; ++i) kept("many", 100);
  EXPECT_TRUE(keeping->has(few));
  const ResultNo other = kept("other", 300);
  EXPECT_NE(other, 0u);
  EXPECT_TRUE(keeping->has(few));
  EXPECT_LE(keeping->held_by("many"), 600);
  for (const auto& [no, why] : gone) EXPECT_EQ(why, Gone::kEvicted);
}

TEST_F(KeepingTest, TheLongestUnreadGoesFirst) {
  open();
  const ResultNo a = kept("x", 400), b = kept("x", 400);
  EXPECT_TRUE(keeping->read(10, a));
  kept("x", 400);
  EXPECT_TRUE(keeping->has(a));
  EXPECT_FALSE(keeping->has(b));
}

TEST_F(KeepingTest, ALeaseEndsAndAReadRenewsIt) {
  open();
  const ResultNo a = kept("x", 10), b = kept("x", 10);
  EXPECT_TRUE(keeping->read(600, a));
  keeping->due(1100);
  EXPECT_TRUE(keeping->has(a));
  EXPECT_EQ(gone.at(b), Gone::kLeaseOver);
  keeping->due(1700);
  EXPECT_EQ(gone.at(a), Gone::kLeaseOver);
  EXPECT_FALSE(keeping->read(1800, a));
  EXPECT_EQ(keeping->owners(), 0u);
  EXPECT_EQ(keeping->memory(), 0);
}

TEST_F(KeepingTest, AHundredTimesItsExpectedSizeMovesToDiskThenIsOutgrown) {
  options.disk = 5000;
  open();
  std::vector<ResultNo> left;
  keeping->on_leave_memory = [&](ResultNo no) { left.push_back(no); };
  const ResultNo a = keeping->reserve(0, "x", 100);
  double grown = 0;
  while (keeping->grow(0, a, 100)) {
    grown += 100;
    if (keeping->take_disk(0, a, 100)) keeping->stored(a, 100, true);
    EXPECT_LE(keeping->memory(), 1000);
  }
  EXPECT_FALSE(left.empty());
  EXPECT_EQ(gone.at(a), Gone::kOutgrown);
  EXPECT_GE(grown, 5000);
  EXPECT_LE(grown, 6100);
  EXPECT_EQ(keeping->memory() + keeping->disk(), 0);
}

TEST_F(KeepingTest, WithoutADiskWhatOutgrowsMemoryIsGone) {
  open();
  const ResultNo a = keeping->reserve(0, "x", 100);
  EXPECT_TRUE(keeping->grow(0, a, 900));
  EXPECT_FALSE(keeping->grow(0, a, 200));
  EXPECT_EQ(gone.at(a), Gone::kOutgrown);
}

TEST_F(KeepingTest, WhatBeginsAnewKeepsItsPlace) {
  open();
  const ResultNo a = keeping->reserve(0, "x", 100);
  keeping->grow(0, a, 800);
  keeping->clear(a);
  EXPECT_EQ(keeping->memory(), 800);
  EXPECT_TRUE(keeping->grow(0, a, 800));
}

// Any script: the budgets hold, what is filled stays, and nobody within its share loses anything to another.
RC_GTEST_PROP(KeepingProperty, BudgetsAndSharesHold,
              (const std::vector<std::tuple<uint8_t, uint8_t, uint16_t>>& steps)) {
  RetentionOptions options;
  options.memory = 1000;
  options.disk = 2000;
  options.lease = 500;
  options.results_most = 40;
  Retention keeping(options);
  struct Seen {
    std::string owner;
    bool whole = false;
    double in_flight = 0;
  };
  std::map<ResultNo, Seen> seen;
  std::string asks;
  std::map<std::string, double> held_before;
  double asked_bytes = 0;
  Ms now = 0;
  keeping.on_gone = [&](ResultNo no, Gone why) {
    const auto at = seen.find(no);
    RC_ASSERT(at != seen.end());
    if (why == Gone::kEvicted) {
      RC_ASSERT(at->second.whole);
      if (at->second.owner != asks) {
        // More than a fair share by what it held, and more than the one who asked.
        const double share = 3000.0 / static_cast<double>(keeping.owners() + 1);
        RC_ASSERT(held_before[at->second.owner] > share - 1e-6 ||
                  held_before[at->second.owner] > held_before[asks] + asked_bytes);
      }
    }
    if (why == Gone::kLeaseOver) RC_ASSERT(at->second.whole);
    seen.erase(at);
  };
  for (const auto& [what, which, how] : steps) {
    now += which % 7;
    for (const char* owner : {"a", "b", "c"}) held_before[owner] = keeping.held_by(owner);
    const auto pick = [&]() -> ResultNo {
      if (seen.empty()) return 0;
      auto at = seen.begin();
      std::advance(at, which % seen.size());
      return at->first;
    };
    const ResultNo no = pick();
    asked_bytes = 1 + how % 400;
    if (no != 0) asks = seen[no].owner;
    switch (what % 8) {
      case 0:
      case 1: {
        asks = std::string(1, static_cast<char>('a' + which % 3));
        if (const ResultNo made = keeping.reserve(now, asks, asked_bytes)) seen[made].owner = asks;
        break;
      }
      case 2:
      case 3:
        if (no && !seen[no].whole && keeping.grow(now, no, asked_bytes)) {
          if (keeping.take_disk(now, no, asked_bytes) && seen.count(no)) seen[no].in_flight += asked_bytes;
        }
        break;
      case 4:
        if (no && seen[no].in_flight > 0)
          keeping.stored(no, std::exchange(seen[no].in_flight, 0), how % 5 != 0);
        break;
      case 5:
        if (no && !seen[no].whole) seen[no].whole = true, keeping.whole(now, no);
        break;
      case 6:
        if (no && how % 3 == 0)
          keeping.forget(no, Gone::kReleased);
        else if (no)
          RC_ASSERT(keeping.read(now, no) == seen[no].whole);
        break;
      case 7:
        now += how % 300;
        keeping.due(now);
        break;
    }
    RC_ASSERT(keeping.memory() <= options.memory + 1e-6);
    RC_ASSERT(keeping.disk() <= options.disk + 1e-6);
    RC_ASSERT(keeping.results() == seen.size());
    RC_ASSERT(keeping.results() <= options.results_most);
    for (const auto& [number, s] : seen) RC_ASSERT(keeping.has(number));
  }
}

TEST(Sizes, AQuantileNotAMeanByGroupThenByProfile) {
  Sizes sizes(1000);
  EXPECT_EQ(sizes.expected("report", 1), 1000);
  for (int i = 0; i < 100; ++i) sizes.ended("report", 1, i % 5 == 0 ? 100000 : 100);
  EXPECT_GE(sizes.expected("report", 1), 100000);  // a fifth is large: nine in ten means those, too
  for (int i = 0; i < 200; ++i) sizes.ended("report", 2, 100);
  EXPECT_LE(sizes.expected("report", 2), 200);
  EXPECT_LE(sizes.expected("report", 77), 200);  // as the profile was lately
}

TEST(Sizes, GroupsAreBounded) {
  Sizes sizes(1000);
  for (int i = 0; i < 10000; ++i) sizes.ended("report", i, 100);
  EXPECT_LE(sizes.groups(), 4096u);
}

}  // namespace
}  // namespace firvalve::results
