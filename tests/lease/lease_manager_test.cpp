// Tests of LeaseManager: acquisition, expiry, renewal, release, pauses and the spread of leases.
#include "lease/lease_manager.h"

#include <gtest/gtest.h>

#include <memory>

#include "lease/lease_fixture.h"

namespace firvalve::lease {
namespace {

using Kind = Event::Kind;
using LeaseManagerTest = LeaseFixture;

TEST_F(LeaseManagerTest, OneOfTwoCandidatesAcquiresAndKeepsTheLease) {
  a_.leases.campaign(at(1), "d");
  b_.leases.campaign(at(1), "d");
  run(registers_, {&a_, &b_}, at(1), at(20000));
  EXPECT_EQ(a_.count(Kind::kAcquired) + b_.count(Kind::kAcquired), 1);
  EXPECT_EQ(a_.count(Kind::kLost) + b_.count(Kind::kLost), 0);
  EXPECT_NE(a_.leases.active_epoch(at(20000), "d").has_value(),
            b_.leases.active_epoch(at(20000), "d").has_value());
  EXPECT_EQ(decode_lease_record(registers_.stored["d"].value)->epoch, 1u);
}

TEST_F(LeaseManagerTest, PausedHolderExpiresBeforeTheNextOneAcquires) {
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(500));
  ASSERT_TRUE(a_.leases.active_epoch(at(500), "d"));
  b_.leases.campaign(at(500), "d");
  std::optional<BootTime> expired_at, acquired_at;
  for (BootTime now = at(510); now < at(4000) && !acquired_at; now += 1ms) {
    b_.observe_and_tick(registers_, now);
    if (!expired_at && !a_.leases.active_epoch(now, "d")) expired_at = now;
    if (b_.leases.active_epoch(now, "d")) acquired_at = now;
  }
  ASSERT_TRUE(expired_at && acquired_at);
  EXPECT_GT(*expired_at, at(500));
  EXPECT_GE(*acquired_at - *expired_at, safety_margin_of(1s));
  EXPECT_LT(*acquired_at, at(500 + 1000 + 1000));  // the lease and one more second
  // The paused holder resumes and finds that it no longer holds the lease.
  a_.tick(registers_, *acquired_at);
  EXPECT_FALSE(a_.leases.active_epoch(*acquired_at, "d"));
  EXPECT_EQ(a_.count(Kind::kLost), 1);
  EXPECT_EQ(b_.leases.active_epoch(*acquired_at, "d"), 2u);
}

TEST_F(LeaseManagerTest, LeaseIsCountedFromItsProposal) {
  a_.leases.campaign(at(1), "d");
  BootTime now = at(1);
  std::vector<consensus::Proposal> proposals;
  while (proposals.empty()) a_.leases.on_tick(now += 10ms), proposals = a_.leases.take_proposals();
  const BootTime proposed_at = now;
  a_.leases.on_result(proposed_at + 600ms, registers_.change(proposed_at, proposals[0]));
  EXPECT_TRUE(a_.leases.active_epoch(proposed_at + 1000ms - safety_margin_of(1s) - 1ms, "d"));
  EXPECT_FALSE(a_.leases.active_epoch(proposed_at + 1000ms - safety_margin_of(1s), "d"));
}

TEST_F(LeaseManagerTest, LeaseCommittedAfterItsExpiryIsNeverActive) {
  a_.leases.campaign(at(1), "d");
  BootTime now = at(1);
  std::vector<consensus::Proposal> proposals;
  while (proposals.empty()) a_.leases.on_tick(now += 10ms), proposals = a_.leases.take_proposals();
  a_.leases.on_result(now + 2000ms, registers_.change(now, proposals[0]));
  EXPECT_FALSE(a_.leases.active_epoch(now + 2000ms, "d"));
  run(registers_, {&a_}, now + 2000ms, now + 3000ms);
  EXPECT_EQ(a_.leases.active_epoch(now + 3000ms, "d"), 2u);  // acquired again under a new epoch
}

TEST_F(LeaseManagerTest, UnknownResultIsRetriedUnderTheSameId) {
  a_.leases.campaign(at(1), "d");
  BootTime now = at(1);
  std::vector<consensus::Proposal> proposals;
  while (proposals.empty()) a_.leases.on_tick(now += 10ms), proposals = a_.leases.take_proposals();
  registers_.change(now, proposals[0]);  // committed, but the response is lost
  a_.leases.on_result(now + 400ms, {consensus::ProposalResult::Kind::kUnknown, proposals[0], {}, now});
  const auto again = a_.leases.take_proposals();
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].id, proposals[0].id);
  a_.leases.on_result(now + 410ms, registers_.change(now + 410ms, again[0]));
  EXPECT_EQ(a_.leases.active_epoch(now + 410ms, "d"), 1u);
  EXPECT_EQ(registers_.stored["d"].version, 1u);
}

TEST_F(LeaseManagerTest, StateWriteWithoutAQuorumIsRetriedAndReportedOnce) {
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(500));
  ASSERT_TRUE(a_.leases.write_state(at(500), "d", "its end"));
  const auto proposals = a_.leases.take_proposals();
  ASSERT_EQ(proposals.size(), 1u);
  a_.leases.on_result(at(600), {consensus::ProposalResult::Kind::kNoQuorum, proposals[0], {}, at(500)});
  run(registers_, {&a_}, at(600), at(700));
  EXPECT_EQ(a_.count(Kind::kStateWritten), 1);
  EXPECT_EQ(decode_lease_record(registers_.stored["d"].value)->state, "its end");
  // If the lease is lost before the retry succeeds, the write is reported as not committed.
  ASSERT_TRUE(a_.leases.write_state(at(700), "d", "another"));
  a_.leases.on_result(
      at(800), {consensus::ProposalResult::Kind::kNoQuorum, a_.leases.take_proposals().at(0), {}, at(700)});
  a_.leases.on_tick(at(5000));
  int uncommitted = 0;
  for (const Event& e : a_.leases.take_events())
    uncommitted += e.kind == Kind::kStateWritten && !e.is_committed;
  EXPECT_EQ(uncommitted, 1);
}

TEST_F(LeaseManagerTest, ReleasedLeaseIsAcquiredEarlyAndKeepsItsState) {
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(500));
  ASSERT_TRUE(a_.leases.write_state(at(500), "d", "number 17"));
  b_.leases.campaign(at(500), "d");
  run(registers_, {&a_, &b_}, at(500), at(700));
  EXPECT_EQ(a_.count(Kind::kStateWritten), 1);
  a_.leases.release_all(at(700));
  EXPECT_FALSE(a_.leases.active_epoch(at(700), "d"));
  std::optional<BootTime> acquired_at;
  for (BootTime now = at(700); now < at(2000) && !acquired_at; now += 1ms) {
    a_.tick(registers_, now);
    b_.observe_and_tick(registers_, now);
    if (b_.leases.active_epoch(now, "d")) acquired_at = now;
  }
  ASSERT_TRUE(acquired_at);
  EXPECT_LT(*acquired_at, at(700 + 100));
  EXPECT_EQ(a_.count(Kind::kReleased), 1);
  EXPECT_FALSE(a_.leases.holds_any());
  EXPECT_EQ(b_.leases.record("d")->state, "number 17");
}

TEST_F(LeaseManagerTest, LeaseInUseIsNotReleasedBeforeItsUseEnds) {
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(500));
  a_.leases.set_in_use(at(500), "d", true);
  a_.leases.release_all(at(500));
  run(registers_, {&a_}, at(500), at(5000));
  EXPECT_TRUE(a_.leases.holds_any());
  EXPECT_EQ(a_.count(Kind::kLost), 0);
  EXPECT_TRUE(a_.leases.write_state(at(5000), "d", "its end"));
  a_.leases.set_in_use(at(5000), "d", false);
  run(registers_, {&a_}, at(5000), at(5100));
  EXPECT_FALSE(a_.leases.holds_any());
  EXPECT_EQ(decode_lease_record(registers_.stored["d"].value)->state, "its end");
}

TEST_F(LeaseManagerTest, HolderReleasesItsLeasesAfterRepeatedPauses) {
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(500));
  b_.leases.campaign(at(500), "d");
  for (int i = 0; i < 3; ++i) a_.leases.on_pause(at(600), 300ms);
  run(registers_, {&a_, &b_}, at(600), at(1200));
  EXPECT_EQ(a_.count(Kind::kReleased), 1);
  EXPECT_TRUE(b_.leases.active_epoch(at(1200), "d"));
  run(registers_, {&a_, &b_}, at(1200), at(30000));
  // The paused gateway does not acquire it again.
  EXPECT_EQ(b_.count(Kind::kLost) + b_.count(Kind::kReleased), 0);
}

TEST_F(LeaseManagerTest, PauseShorterThanTheSafetyMarginIsNotCounted) {
  for (int i = 0; i < 10; ++i) a_.leases.on_pause(at(600), safety_margin_of(1s) - 1ms);
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(600), at(2000));
  EXPECT_EQ(a_.count(Kind::kReleased), 0);
}

TEST_F(LeaseManagerTest, UncommittedRecordFromOneReplicaDoesNotEndALease) {
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(500));
  consensus::Register other = registers_.stored["d"];
  ++other.version;
  other.change_id = 99;
  LeaseRecord record = *decode_lease_record(other.value);
  record.holder = "c";
  record.epoch = 2;
  other.value = encode(record);
  a_.leases.observe(at(500), "d", other);
  EXPECT_TRUE(a_.leases.active_epoch(at(500), "d"));
  run(registers_, {&a_}, at(500), at(600));  // it renews, because the other record is not committed
  EXPECT_TRUE(a_.leases.active_epoch(at(600), "d"));
  EXPECT_EQ(a_.count(Kind::kLost), 0);
}

TEST_F(LeaseManagerTest, LeaseWithAnUnreadableRecordIsNotAcquired) {
  registers_.stored["d"] = {1, 5, {}, "not a lease record", false};
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(5000));
  EXPECT_EQ(a_.count(Kind::kUnreadable), 1);
  EXPECT_EQ(a_.count(Kind::kAcquired), 0);
}

TEST_F(LeaseManagerTest, TakeoverWaitsForTheHoldersLongerLease) {
  FakeGateway slow("slow", 3003, 5000ms);
  slow.leases.campaign(at(1), "d");
  run(registers_, {&slow}, at(1), at(500));
  b_.leases.campaign(at(500), "d");
  run(registers_, {&b_}, at(500), at(5000));
  EXPECT_EQ(b_.count(Kind::kAcquired), 0);
  run(registers_, {&b_}, at(5000), at(7000));
  EXPECT_EQ(b_.count(Kind::kAcquired), 1);
}

TEST(LeaseDistribution, LeasesOfAFailedGatewayAreSpreadOverTheOthers) {
  FakeRegisters registers;
  std::vector<std::unique_ptr<FakeGateway>> all;
  std::vector<FakeGateway*> running;
  for (int i = 0; i < 10; ++i) {
    all.push_back(std::make_unique<FakeGateway>("127.0.0.1:" + std::to_string(7000 + i),
                                                5000 + static_cast<uint64_t>(i)));
    running.push_back(all.back().get());
  }
  for (FakeGateway* gateway : running)
    for (int d = 0; d < 200; ++d) gateway->leases.campaign(at(1), "trial:" + std::to_string(d));
  run(registers, running, at(1), at(500), 1ms);
  run(registers, running, at(500), at(2000));
  size_t max_held = 0, min_held = 200;
  for (FakeGateway* gateway : running)
    max_held = std::max(max_held, gateway->leases.held_lease_count()),
    min_held = std::min(min_held, gateway->leases.held_lease_count());
  EXPECT_LE(max_held, 40u);
  EXPECT_GE(min_held, 8u);
  const size_t failed_gateway_leases = running[0]->leases.held_lease_count();
  std::map<std::string, size_t> held_before;
  for (FakeGateway* gateway : running)
    held_before[gateway->options.self] = gateway->leases.held_lease_count();
  running.erase(running.begin());
  run(registers, running, at(2000), at(6000), 5ms);
  size_t gained = 0, gaining_gateways = 0;
  for (FakeGateway* gateway : running) {
    gained += gateway->leases.held_lease_count() - held_before[gateway->options.self];
    gaining_gateways += gateway->leases.held_lease_count() > held_before[gateway->options.self];
    EXPECT_EQ(gateway->count(Kind::kLost), 0);
  }
  EXPECT_EQ(gained, failed_gateway_leases);
  EXPECT_GE(gaining_gateways, 5u);
}

}  // namespace
}  // namespace firvalve::lease
