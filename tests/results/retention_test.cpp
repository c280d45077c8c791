#include "results/retention.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>

namespace firvalve::results {
namespace {

struct KeepingTest : testing::Test {
  RetentionOptions options = [] {
    RetentionOptions t;
    t.memory_bytes = 1000;
    t.lease = 1000;
    return t;
  }();
  std::map<ResultId, RemovalReason> gone;
  std::optional<Retention> retention;
  void open() {
    retention.emplace(options);
    retention->on_removed = [this](ResultId no, RemovalReason reason) { gone[no] = reason; };
  }
  ResultId kept(const std::string& owner, double bytes, Ms now = 0) {
    const ResultId no = retention->reserve(now, owner, bytes);
    if (no == 0) return 0;
    EXPECT_TRUE(retention->grow(now, no, bytes));
    retention->whole(now, no);
    return no;
  }
};

TEST_F(KeepingTest, WithoutAPlaceThereIsNone) {
  open();
  const ResultId a = retention->reserve(0, "a", 700);
  EXPECT_NE(a, 0u);
  EXPECT_EQ(retention->reserve(0, "b", 700), 0u);  // it is being filled: nothing of it may go
  retention->grow(0, a, 100);
  retention->whole(0, a);  // it was smaller than expected
  EXPECT_NE(retention->reserve(0, "b", 700), 0u);
  EXPECT_TRUE(gone.empty());
}

TEST_F(KeepingTest, WhoLeavesManyBehindLosesItsOwn) {
  open();
  for (int i = 0; i < 9; ++i) kept("many", 100);
  const ResultId few = kept("few", 100);
  EXPECT_TRUE(retention->has(few));
  EXPECT_TRUE(gone.empty());
  for (int i = 0; i < 20; ++i) kept("many", 100);
  EXPECT_TRUE(retention->has(few));
  const ResultId other = kept("other", 300);
  EXPECT_NE(other, 0u);
  EXPECT_TRUE(retention->has(few));
  EXPECT_LE(retention->held_by("many"), 600);
  for (const auto& [no, why] : gone) EXPECT_EQ(why, RemovalReason::kEvicted);
}

TEST_F(KeepingTest, TheLongestUnreadGoesFirst) {
  open();
  const ResultId a = kept("x", 400), b = kept("x", 400);
  EXPECT_TRUE(retention->read(10, a));
  kept("x", 400);
  EXPECT_TRUE(retention->has(a));
  EXPECT_FALSE(retention->has(b));
}

TEST_F(KeepingTest, ALeaseEndsAndAReadRenewsIt) {
  open();
  const ResultId a = kept("x", 10), b = kept("x", 10);
  EXPECT_TRUE(retention->read(600, a));
  retention->due(1100);
  EXPECT_TRUE(retention->has(a));
  EXPECT_EQ(gone.at(b), RemovalReason::kLeaseExpired);
  retention->due(1700);
  EXPECT_EQ(gone.at(a), RemovalReason::kLeaseExpired);
  EXPECT_FALSE(retention->read(1800, a));
  EXPECT_EQ(retention->owners(), 0u);
  EXPECT_EQ(retention->memory(), 0);
}

TEST_F(KeepingTest, AHundredTimesItsExpectedSizeMovesToDiskThenIsOutgrown) {
  options.disk_bytes = 5000;
  open();
  std::vector<ResultId> left;
  retention->on_memory_evicted = [&](ResultId no) { left.push_back(no); };
  const ResultId a = retention->reserve(0, "x", 100);
  double grown = 0;
  while (retention->grow(0, a, 100)) {
    grown += 100;
    if (retention->reserve_disk(0, a, 100)) retention->stored(a, 100, true);
    EXPECT_LE(retention->memory(), 1000);
  }
  EXPECT_FALSE(left.empty());
  EXPECT_EQ(gone.at(a), RemovalReason::kTooLarge);
  EXPECT_GE(grown, 5000);
  EXPECT_LE(grown, 6100);
  EXPECT_EQ(retention->memory() + retention->disk(), 0);
}

TEST_F(KeepingTest, WithoutADiskWhatOutgrowsMemoryIsGone) {
  open();
  const ResultId a = retention->reserve(0, "x", 100);
  EXPECT_TRUE(retention->grow(0, a, 900));
  EXPECT_FALSE(retention->grow(0, a, 200));
  EXPECT_EQ(gone.at(a), RemovalReason::kTooLarge);
}

TEST_F(KeepingTest, WhatBeginsAnewKeepsItsPlace) {
  open();
  const ResultId a = retention->reserve(0, "x", 100);
  retention->grow(0, a, 800);
  retention->clear(a);
  EXPECT_EQ(retention->memory(), 800);
  EXPECT_TRUE(retention->grow(0, a, 800));
}

// Any script: the budgets hold, what is filled stays, and nobody within its share loses anything to another.
RC_GTEST_PROP(KeepingProperty, BudgetsAndSharesHold,
              (const std::vector<std::tuple<uint8_t, uint8_t, uint16_t>>& steps)) {
  RetentionOptions options;
  options.memory_bytes = 1000;
  options.disk_bytes = 2000;
  options.lease = 500;
  options.max_results = 40;
  Retention retention(options);
  struct Seen {
    std::string owner;
    bool whole = false;
    double in_flight = 0;
  };
  std::map<ResultId, Seen> seen;
  std::string asks;
  std::map<std::string, double> held_before;
  double asked_bytes = 0;
  Ms now = 0;
  retention.on_removed = [&](ResultId no, RemovalReason reason) {
    const auto at = seen.find(no);
    RC_ASSERT(at != seen.end());
    if (reason == RemovalReason::kEvicted) {
      RC_ASSERT(at->second.whole);
      if (at->second.owner != asks) {
        // More than a fair share by what it held, and more than the one who asked.
        const double share = 3000.0 / static_cast<double>(retention.owners() + 1);
        RC_ASSERT(held_before[at->second.owner] > share - 1e-6 ||
                  held_before[at->second.owner] > held_before[asks] + asked_bytes);
      }
    }
    if (reason == RemovalReason::kLeaseExpired) RC_ASSERT(at->second.whole);
    seen.erase(at);
  };
  for (const auto& [what, which, how] : steps) {
    now += which % 7;
    for (const char* owner : {"a", "b", "c"}) held_before[owner] = retention.held_by(owner);
    const auto pick = [&]() -> ResultId {
      if (seen.empty()) return 0;
      auto at = seen.begin();
      std::advance(at, which % seen.size());
      return at->first;
    };
    const ResultId no = pick();
    asked_bytes = 1 + how % 400;
    if (no != 0) asks = seen[no].owner;
    switch (what % 8) {
      case 0:
      case 1: {
        asks = std::string(1, static_cast<char>('a' + which % 3));
        if (const ResultId made = retention.reserve(now, asks, asked_bytes)) seen[made].owner = asks;
        break;
      }
      case 2:
      case 3:
        if (no && !seen[no].whole && retention.grow(now, no, asked_bytes)) {
          if (retention.reserve_disk(now, no, asked_bytes) && seen.count(no))
            seen[no].in_flight += asked_bytes;
        }
        break;
      case 4:
        if (no && seen[no].in_flight > 0)
          retention.stored(no, std::exchange(seen[no].in_flight, 0), how % 5 != 0);
        break;
      case 5:
        if (no && !seen[no].whole) seen[no].whole = true, retention.whole(now, no);
        break;
      case 6:
        if (no && how % 3 == 0)
          retention.forget(no, RemovalReason::kReleased);
        else if (no)
          RC_ASSERT(retention.read(now, no) == seen[no].whole);
        break;
      case 7:
        now += how % 300;
        retention.due(now);
        break;
    }
    RC_ASSERT(retention.memory() <= options.memory_bytes + 1e-6);
    RC_ASSERT(retention.disk() <= options.disk_bytes + 1e-6);
    RC_ASSERT(retention.results() == seen.size());
    RC_ASSERT(retention.results() <= options.max_results);
    for (const auto& [number, s] : seen) RC_ASSERT(retention.has(number));
  }
}

}  // namespace
}  // namespace firvalve::results
