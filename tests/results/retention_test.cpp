// Tests the retention policy of the result store.
#include "results/retention.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>

namespace firvalve::results {
namespace {

struct RetentionTest : testing::Test {
  RetentionOptions options = [] {
    RetentionOptions retention_options;
    retention_options.memory_bytes = 1000;
    retention_options.lease = Duration(1000);
    return retention_options;
  }();
  std::map<ResultId, RemovalReason> removed;
  std::optional<Retention> retention;
  void open() {
    retention.emplace(options);
    retention->on_removed = [this](ResultId id, RemovalReason reason) { removed[id] = reason; };
  }
  static constexpr TimePoint at(Ms ms) { return time_point_of(ms); }
  std::optional<ResultId> add_complete(const std::string& owner, double bytes) {
    const std::optional<ResultId> id = retention->reserve(owner, bytes);
    if (!id) return std::nullopt;
    EXPECT_TRUE(retention->add_bytes(*id, bytes));
    retention->complete(at(0), *id);
    return id;
  }
};

TEST_F(RetentionTest, ReservationFailsWithoutSpace) {
  open();
  const ResultId first = retention->reserve("a", 700).value();
  EXPECT_NE(first, 0u);
  EXPECT_EQ(retention->reserve("b", 700), std::nullopt);  // an incomplete result is not evicted
  retention->add_bytes(first, 100);
  retention->complete(at(0), first);  // it is smaller than expected, so the rest is freed
  EXPECT_NE(retention->reserve("b", 700), std::nullopt);
  EXPECT_TRUE(removed.empty());
}

TEST_F(RetentionTest, OwnerAboveItsShareLosesItsOwnResults) {
  open();
  for (int i = 0; i < 9; ++i) add_complete("many", 100);
  const std::optional<ResultId> few = add_complete("few", 100);
  EXPECT_TRUE(retention->contains(few.value()));
  EXPECT_TRUE(removed.empty());
  for (int i = 0; i < 20; ++i) add_complete("many", 100);
  EXPECT_TRUE(retention->contains(few.value()));
  const std::optional<ResultId> other = add_complete("other", 300);
  EXPECT_NE(other, std::nullopt);
  EXPECT_TRUE(retention->contains(few.value()));
  EXPECT_LE(retention->used_bytes("many"), 600);
  for (const auto& [id, reason] : removed) EXPECT_EQ(reason, RemovalReason::kEvicted);
}

TEST_F(RetentionTest, LeastRecentlyReadResultIsEvictedFirst) {
  open();
  const ResultId first = add_complete("x", 400).value(), second = add_complete("x", 400).value();
  EXPECT_TRUE(retention->renew_lease(at(10), first));
  add_complete("x", 400);
  EXPECT_TRUE(retention->contains(first));
  EXPECT_FALSE(retention->contains(second));
}

TEST_F(RetentionTest, LeaseExpiresUnlessAReadRenewsIt) {
  open();
  const ResultId first = add_complete("x", 10).value(), second = add_complete("x", 10).value();
  EXPECT_TRUE(retention->renew_lease(at(600), first));
  retention->expire_leases(at(1100));
  EXPECT_TRUE(retention->contains(first));
  EXPECT_EQ(removed.at(second), RemovalReason::kLeaseExpired);
  retention->expire_leases(at(1700));
  EXPECT_EQ(removed.at(first), RemovalReason::kLeaseExpired);
  EXPECT_FALSE(retention->renew_lease(at(1800), first));
  EXPECT_EQ(retention->owner_count(), 0u);
  EXPECT_EQ(retention->memory_bytes(), 0);
}

// A result far larger than expected moves to disk as it grows, and is removed when the disk has no space
// either.
TEST_F(RetentionTest, GrowingResultMovesToDiskUntilItIsTooLarge) {
  options.disk_bytes = 5000;
  open();
  std::vector<ResultId> evicted;
  retention->on_memory_evicted = [&](ResultId id) { evicted.push_back(id); };
  const ResultId result = retention->reserve("x", 100).value();
  double grown_bytes = 0;
  while (retention->add_bytes(result, 100)) {
    grown_bytes += 100;
    if (retention->reserve_disk(result, 100)) retention->finish_disk_write(result, 100, true);
    EXPECT_LE(retention->memory_bytes(), 1000);
  }
  EXPECT_FALSE(evicted.empty());
  EXPECT_EQ(removed.at(result), RemovalReason::kTooLarge);
  EXPECT_GE(grown_bytes, 5000);
  EXPECT_LE(grown_bytes, 6100);
  EXPECT_EQ(retention->memory_bytes() + retention->disk_bytes(), 0);
}

TEST_F(RetentionTest, ResultLargerThanMemoryIsRemovedIfThereIsNoDisk) {
  open();
  const ResultId result = retention->reserve("x", 100).value();
  EXPECT_TRUE(retention->add_bytes(result, 900));
  EXPECT_FALSE(retention->add_bytes(result, 200));
  EXPECT_EQ(removed.at(result), RemovalReason::kTooLarge);
}

TEST_F(RetentionTest, ResultThatStartsOverKeepsItsReservation) {
  open();
  const ResultId result = retention->reserve("x", 100).value();
  retention->add_bytes(result, 800);
  retention->clear(result);
  EXPECT_EQ(retention->memory_bytes(), 800);
  EXPECT_TRUE(retention->add_bytes(result, 800));
}

// Checks over random operations that the budgets hold, that an incomplete result is not evicted, and that an
// owner within its share loses no result to another owner.
RC_GTEST_PROP(RetentionProperty, BudgetsAndSharesHold,
              (const std::vector<std::tuple<uint8_t, uint8_t, uint16_t>>& steps)) {
  RetentionOptions options;
  options.memory_bytes = 1000;
  options.disk_bytes = 2000;
  options.lease = Duration(500);
  options.max_results = 40;
  Retention retention(options);
  struct Seen {
    std::string owner;
    bool is_complete = false;
    double in_flight_bytes = 0;
  };
  std::map<ResultId, Seen> seen;
  std::string requester;
  std::map<std::string, double> used_before;
  double requested_bytes = 0;
  TimePoint now;
  retention.on_removed = [&](ResultId id, RemovalReason reason) {
    const auto at = seen.find(id);
    RC_ASSERT(at != seen.end());
    if (reason == RemovalReason::kEvicted) {
      RC_ASSERT(at->second.is_complete);
      if (at->second.owner != requester) {
        // The owner used more than its fair share, or more than the requester would use.
        const double share = 3000.0 / static_cast<double>(retention.owner_count() + 1);
        RC_ASSERT(used_before[at->second.owner] > share - 1e-6 ||
                  used_before[at->second.owner] > used_before[requester] + requested_bytes);
      }
    }
    if (reason == RemovalReason::kLeaseExpired) RC_ASSERT(at->second.is_complete);
    seen.erase(at);
  };
  for (const auto& [action, selector, variant] : steps) {
    now += Duration(selector % 7);
    for (const char* owner : {"a", "b", "c"}) used_before[owner] = retention.used_bytes(owner);
    const auto pick = [&]() -> std::optional<ResultId> {
      if (seen.empty()) return std::nullopt;
      auto at = seen.begin();
      std::advance(at, selector % seen.size());
      return at->first;
    };
    const std::optional<ResultId> id = pick();
    requested_bytes = 1 + variant % 400;
    if (id) requester = seen[*id].owner;
    switch (action % 8) {
      case 0:
      case 1: {
        requester = std::string(1, static_cast<char>('a' + selector % 3));
        if (const auto reserved = retention.reserve(requester, requested_bytes))
          seen[*reserved].owner = requester;
        break;
      }
      case 2:
      case 3:
        if (id && !seen[*id].is_complete && retention.add_bytes(*id, requested_bytes)) {
          if (retention.reserve_disk(*id, requested_bytes) && seen.count(*id))
            seen[*id].in_flight_bytes += requested_bytes;
        }
        break;
      case 4:
        if (id && seen[*id].in_flight_bytes > 0)
          retention.finish_disk_write(*id, std::exchange(seen[*id].in_flight_bytes, 0), variant % 5 != 0);
        break;
      case 5:
        if (id && !seen[*id].is_complete) seen[*id].is_complete = true, retention.complete(now, *id);
        break;
      case 6:
        if (id && variant % 3 == 0)
          retention.remove(*id, RemovalReason::kReleased);
        else if (id)
          RC_ASSERT(retention.renew_lease(now, *id) == seen[*id].is_complete);
        break;
      case 7:
        now += Duration(variant % 300);
        retention.expire_leases(now);
        break;
    }
    RC_ASSERT(retention.memory_bytes() <= options.memory_bytes + 1e-6);
    RC_ASSERT(retention.disk_bytes() <= options.disk_bytes + 1e-6);
    RC_ASSERT(retention.result_count() == seen.size());
    RC_ASSERT(retention.result_count() <= options.max_results);
    for (const auto& [number, seen_result] : seen) RC_ASSERT(retention.contains(number));
  }
}

}  // namespace
}  // namespace firvalve::results
