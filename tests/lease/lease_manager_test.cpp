#include "lease/lease_manager.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "lease/fence.h"
#include "lease/run_once_jobs.h"

namespace firvalve::lease {
namespace {

using Kind = Event::Kind;

constexpr BootTime at(Ms ms) { return time_point_of<BootClock>(ms); }

// Registers that commit at once, as a LeaseManager sees them.
struct FakeRegisters {
  std::map<std::string, consensus::Register> stored;
  consensus::ProposalResult change(BootTime now, const consensus::Proposal& proposal) {
    consensus::Register& f = stored[proposal.key];
    consensus::ProposalResult result{consensus::ProposalResult::Kind::kConflict, proposal, {}, now};
    if (f.includes_change(proposal.id) && f.version > 0) {
      result.kind = consensus::ProposalResult::Kind::kCommitted;
    } else if (f.change_id == proposal.expected_change) {
      if (f.version > 0) f.earlier_changes.insert(f.earlier_changes.begin(), f.change_id);
      ++f.version;
      f.change_id = proposal.id;
      f.value = proposal.value;
      result.kind = consensus::ProposalResult::Kind::kCommitted;
    }
    result.current = f;
    return result;
  }
};

struct Gateway {
  Gateway(const std::string& name, Incarnation incarnation, Duration duration = 1000ms)
      : options{name, incarnation, duration}, leases(at(1), options), jobs(leases, incarnation) {
    leases.on_synced(at(1));
  }
  // Ticks it, commits what it proposes and keeps its events and actions.
  void go(FakeRegisters& registers, BootTime now) {
    leases.on_tick(now);
    jobs.on_tick(now);
    for (bool more = true; more;) {
      more = false;
      for (const consensus::Proposal& proposal : leases.take_proposals()) {
        more = true;
        leases.on_result(now, registers.change(now, proposal));
      }
      for (Event& e : leases.take_events()) {
        more = true;
        jobs.handle(now, e);
        events.push_back(e);
      }
    }
    for (RunOnceJobs::Action& a : jobs.take_actions()) actions.push_back(a);
  }
  void see(FakeRegisters& registers, BootTime now) {
    for (const auto& [key, value] : registers.stored) leases.observe(now, key, value);
    go(registers, now);
  }
  int count(Kind kind) const {
    return static_cast<int>(
        std::count_if(events.begin(), events.end(), [&](const Event& e) { return e.kind == kind; }));
  }
  int count(RunOnceJobs::Action::Kind kind) const {
    return static_cast<int>(
        std::count_if(actions.begin(), actions.end(), [&](const auto& a) { return a.kind == kind; }));
  }
  LeaseOptions options;
  LeaseManager leases;
  RunOnceJobs jobs;
  std::vector<Event> events;
  std::vector<RunOnceJobs::Action> actions;
};

// Ticks the gateways; others are paused.
void run(FakeRegisters& registers, std::vector<Gateway*> gateways, BootTime from, BootTime until,
         Duration step = 10ms) {
  for (BootTime t = from; t <= until; t += step)
    for (Gateway* g : gateways) g->see(registers, t);
}

class LeaseManagerTest : public testing::Test {
 protected:
  FakeRegisters registers_;
  Gateway a_{"a", 1001}, b_{"b", 2002};
};

TEST_F(LeaseManagerTest, OneOfTwoCandidatesAcquiresAFreeLeaseAndKeepsIt) {
  a_.leases.campaign(at(1), "d");
  b_.leases.campaign(at(1), "d");
  run(registers_, {&a_, &b_}, at(1), at(20000));
  EXPECT_EQ(a_.count(Kind::kAcquired) + b_.count(Kind::kAcquired), 1);
  EXPECT_EQ(a_.count(Kind::kLost) + b_.count(Kind::kLost), 0);
  EXPECT_NE(a_.leases.active_epoch(at(20000), "d").has_value(),
            b_.leases.active_epoch(at(20000), "d").has_value());
  EXPECT_EQ(decode_lease_record(registers_.stored["d"].value)->epoch, 1u);
}

TEST_F(LeaseManagerTest, APausedHolderStopsBeforeTheNextOneBegins) {
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(500));
  ASSERT_TRUE(a_.leases.active_epoch(at(500), "d"));
  b_.leases.campaign(at(500), "d");
  std::optional<BootTime> stopped, began;
  for (BootTime now = at(510); now < at(4000) && !began; now += 1ms) {
    b_.see(registers_, now);
    if (!stopped && !a_.leases.active_epoch(now, "d")) stopped = now;
    if (b_.leases.active_epoch(now, "d")) began = now;
  }
  ASSERT_TRUE(stopped && began);
  EXPECT_GT(*stopped, at(500));
  EXPECT_GE(*began - *stopped, safety_margin_of(1s));
  EXPECT_LT(*began, at(500 + 1000 + 1000));  // the lease and a second more
  // The first continues in the middle of what it did, and holds nothing any more.
  a_.go(registers_, *began);
  EXPECT_FALSE(a_.leases.active_epoch(*began, "d"));
  EXPECT_EQ(a_.count(Kind::kLost), 1);
  EXPECT_EQ(b_.leases.active_epoch(*began, "d"), 2u);
}

TEST_F(LeaseManagerTest, ALeaseCountsFromBeforeItWasProposed) {
  a_.leases.campaign(at(1), "d");
  BootTime now = at(1);
  std::vector<consensus::Proposal> proposals;
  while (proposals.empty()) a_.leases.on_tick(now += 10ms), proposals = a_.leases.take_proposals();
  const BootTime proposed_at = now;
  a_.leases.on_result(proposed_at + 600ms, registers_.change(proposed_at, proposals[0]));
  EXPECT_TRUE(a_.leases.active_epoch(proposed_at + 1000ms - safety_margin_of(1s) - 1ms, "d"));
  EXPECT_FALSE(a_.leases.active_epoch(proposed_at + 1000ms - safety_margin_of(1s), "d"));
}

TEST_F(LeaseManagerTest, ALeaseThatWasCommittedTooLateIsNeverActive) {
  a_.leases.campaign(at(1), "d");
  BootTime now = at(1);
  std::vector<consensus::Proposal> proposals;
  while (proposals.empty()) a_.leases.on_tick(now += 10ms), proposals = a_.leases.take_proposals();
  a_.leases.on_result(now + 2000ms, registers_.change(now, proposals[0]));
  EXPECT_FALSE(a_.leases.active_epoch(now + 2000ms, "d"));
  run(registers_, {&a_}, now + 2000ms, now + 3000ms);
  EXPECT_EQ(a_.leases.active_epoch(now + 3000ms, "d"), 2u);  // under an epoch of its own
}

TEST_F(LeaseManagerTest, AnUnknownResultIsProposedAgainUnderItsId) {
  a_.leases.campaign(at(1), "d");
  BootTime now = at(1);
  std::vector<consensus::Proposal> proposals;
  while (proposals.empty()) a_.leases.on_tick(now += 10ms), proposals = a_.leases.take_proposals();
  registers_.change(now, proposals[0]);  // it is committed, and the response is lost
  a_.leases.on_result(now + 400ms, {consensus::ProposalResult::Kind::kUnknown, proposals[0], {}, now});
  const auto again = a_.leases.take_proposals();
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].id, proposals[0].id);
  a_.leases.on_result(now + 410ms, registers_.change(now + 410ms, again[0]));
  EXPECT_EQ(a_.leases.active_epoch(now + 410ms, "d"), 1u);
  EXPECT_EQ(registers_.stored["d"].version, 1u);
}

TEST_F(LeaseManagerTest, AStateWithoutAQuorumIsProposedAnewAndReportedOnce) {
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(500));
  ASSERT_TRUE(a_.leases.write_state(at(500), "d", "its end"));
  const auto proposals = a_.leases.take_proposals();
  ASSERT_EQ(proposals.size(), 1u);
  a_.leases.on_result(at(600), {consensus::ProposalResult::Kind::kNoQuorum, proposals[0], {}, at(500)});
  run(registers_, {&a_}, at(600), at(700));
  EXPECT_EQ(a_.count(Kind::kStateWritten), 1);
  EXPECT_EQ(decode_lease_record(registers_.stored["d"].value)->state, "its end");
  // And where the lease is lost meanwhile, that is reported.
  ASSERT_TRUE(a_.leases.write_state(at(700), "d", "another"));
  a_.leases.on_result(
      at(800), {consensus::ProposalResult::Kind::kNoQuorum, a_.leases.take_proposals().at(0), {}, at(700)});
  a_.leases.on_tick(at(5000));
  int uncommitted = 0;
  for (const Event& e : a_.leases.take_events())
    uncommitted += e.kind == Kind::kStateWritten && !e.is_committed;
  EXPECT_EQ(uncommitted, 1);
}

TEST_F(LeaseManagerTest, AReleaseLeavesNoGapOfALeaseAndPassesTheState) {
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(500));
  ASSERT_TRUE(a_.leases.write_state(at(500), "d", "number 17"));
  b_.leases.campaign(at(500), "d");
  run(registers_, {&a_, &b_}, at(500), at(700));
  EXPECT_EQ(a_.count(Kind::kStateWritten), 1);
  a_.leases.release_all(at(700));
  EXPECT_FALSE(a_.leases.active_epoch(at(700), "d"));
  std::optional<BootTime> began;
  for (BootTime now = at(700); now < at(2000) && !began; now += 1ms) {
    a_.go(registers_, now);
    b_.see(registers_, now);
    if (b_.leases.active_epoch(now, "d")) began = now;
  }
  ASSERT_TRUE(began);
  EXPECT_LT(*began, at(700 + 100));
  EXPECT_EQ(a_.count(Kind::kReleased), 1);
  EXPECT_FALSE(a_.leases.holds_any());
  EXPECT_EQ(b_.leases.record("d")->state, "number 17");
}

TEST_F(LeaseManagerTest, ALeaseInUseIsHeldUntilTheEndOfItsUse) {
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

TEST_F(LeaseManagerTest, AHolderWithRepeatedPausesReleasesItsLeases) {
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(500));
  b_.leases.campaign(at(500), "d");
  for (int i = 0; i < 3; ++i) a_.leases.on_pause(at(600), 300ms);
  run(registers_, {&a_, &b_}, at(600), at(1200));
  EXPECT_EQ(a_.count(Kind::kReleased), 1);
  EXPECT_TRUE(b_.leases.active_epoch(at(1200), "d"));
  run(registers_, {&a_, &b_}, at(1200), at(30000));
  EXPECT_EQ(b_.count(Kind::kLost) + b_.count(Kind::kReleased), 0);  // the first does not acquire it again
}

TEST_F(LeaseManagerTest, APauseWithinTheSafetyMarginDoesNotCount) {
  for (int i = 0; i < 10; ++i) a_.leases.on_pause(at(600), safety_margin_of(1s) - 1ms);
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(600), at(2000));
  EXPECT_EQ(a_.count(Kind::kReleased), 0);
}

TEST_F(LeaseManagerTest, OneReplicaThatShowsAnUncommittedRecordEndsNoLease) {
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
  run(registers_, {&a_}, at(500), at(600));  // it renews, and no other record is committed
  EXPECT_TRUE(a_.leases.active_epoch(at(600), "d"));
  EXPECT_EQ(a_.count(Kind::kLost), 0);
}

TEST_F(LeaseManagerTest, ALeaseWithAnUnreadableRecordIsNotAcquired) {
  registers_.stored["d"] = {1, 5, {}, "not a lease record", false};
  a_.leases.campaign(at(1), "d");
  run(registers_, {&a_}, at(1), at(5000));
  EXPECT_EQ(a_.count(Kind::kUnreadable), 1);
  EXPECT_EQ(a_.count(Kind::kAcquired), 0);
}

TEST_F(LeaseManagerTest, ALongerLeaseOfTheHolderIsWaitedFor) {
  Gateway slow("slow", 3003, 5000ms);
  slow.leases.campaign(at(1), "d");
  run(registers_, {&slow}, at(1), at(500));
  b_.leases.campaign(at(500), "d");
  run(registers_, {&b_}, at(500), at(5000));
  EXPECT_EQ(b_.count(Kind::kAcquired), 0);
  run(registers_, {&b_}, at(5000), at(7000));
  EXPECT_EQ(b_.count(Kind::kAcquired), 1);
}

TEST(LeaseDistribution, TheLeasesOfAFailedGatewayAreSpreadOverMany) {
  FakeRegisters registers;
  std::vector<std::unique_ptr<Gateway>> all;
  std::vector<Gateway*> up;
  for (int i = 0; i < 10; ++i) {
    all.push_back(
        std::make_unique<Gateway>("127.0.0.1:" + std::to_string(7000 + i), 5000 + static_cast<uint64_t>(i)));
    up.push_back(all.back().get());
  }
  for (Gateway* g : up)
    for (int d = 0; d < 200; ++d) g->leases.campaign(at(1), "trial:" + std::to_string(d));
  run(registers, up, at(1), at(500), 1ms);
  run(registers, up, at(500), at(2000));
  size_t most = 0, least = 200;
  for (Gateway* g : up)
    most = std::max(most, g->leases.held_count()), least = std::min(least, g->leases.held_count());
  EXPECT_LE(most, 40u);
  EXPECT_GE(least, 8u);
  const size_t dead = up[0]->leases.held_count();
  std::map<std::string, size_t> before;
  for (Gateway* g : up) before[g->options.self] = g->leases.held_count();
  up.erase(up.begin());
  run(registers, up, at(2000), at(6000), 5ms);
  size_t gained = 0, heirs = 0;
  for (Gateway* g : up) {
    gained += g->leases.held_count() - before[g->options.self];
    heirs += g->leases.held_count() > before[g->options.self];
    EXPECT_EQ(g->count(Kind::kLost), 0);
  }
  EXPECT_EQ(gained, dead);
  EXPECT_GE(heirs, 5u);
}

TEST(FenceTest, AnOlderEpochIsRefusedAndTheSameIsAdmitted) {
  Fence fence;
  EXPECT_TRUE(fence.admits("d", 3));
  EXPECT_TRUE(fence.admits("d", 3));
  EXPECT_FALSE(fence.admits("d", 2));
  EXPECT_TRUE(fence.admits("e", 1));
  EXPECT_TRUE(fence.admits("d", 4));
  EXPECT_FALSE(fence.admits("d", 3));
}

class RunOnceJobsTest : public LeaseManagerTest {
 protected:
  using Act = RunOnceJobs::Action::Kind;
  void submit(Gateway& g, RunOnceJobs::CallId call, BootTime now, uint64_t statement_hash = 7) {
    g.jobs.submit(now, "night", call, statement_hash, now + 10s);
  }
};

TEST_F(RunOnceJobsTest, TwoGatewaysStartAJobOnceAndBothAnswerItsEnd) {
  submit(a_, 1, at(100));
  submit(b_, 2, at(100));
  run(registers_, {&a_, &b_}, at(100), at(1000));
  EXPECT_EQ(a_.count(Act::kStart) + b_.count(Act::kStart), 1);
  Gateway& runs = a_.count(Act::kStart) ? a_ : b_;
  runs.jobs.on_run_finished(at(1000), "night", RunOnceJobs::RunEnd::kCompleted, "12 rows\n");
  run(registers_, {&a_, &b_}, at(1000), at(1500));
  for (Gateway* g : {&a_, &b_}) {
    EXPECT_EQ(g->count(Act::kComplete), 1);
    EXPECT_EQ(g->actions.back().rows, "12 rows\n");
    EXPECT_TRUE(g->jobs.is_idle());
  }
  submit(a_, 3, at(5000));
  run(registers_, {&a_}, at(5000), at(5500));
  EXPECT_EQ(a_.count(Act::kStart) + b_.count(Act::kStart), 1);
  EXPECT_EQ(a_.actions.back().kind, Act::kComplete);
}

TEST_F(RunOnceJobsTest, AJobWhoseHolderDiedMayHaveRun) {
  submit(a_, 1, at(100));
  run(registers_, {&a_}, at(100), at(1000));
  ASSERT_EQ(a_.count(Act::kStart), 1);
  submit(b_, 2, at(1000));
  run(registers_, {&b_}, at(1000), at(4000));
  EXPECT_EQ(b_.count(Act::kStart), 0);
  EXPECT_EQ(b_.count(Act::kFail), 1);
  Gateway c("c", 4004);
  submit(c, 3, at(5000));
  run(registers_, {&c}, at(5000), at(8000));
  EXPECT_EQ(c.count(Act::kStart), 0);
  EXPECT_EQ(c.count(Act::kFail), 1);
}

TEST_F(RunOnceJobsTest, AJobWhoseHolderDiedBeforeItsRecordIsStartedByTheNext) {
  submit(a_, 1, at(100));
  BootTime now = at(100);
  // It acquires the lease, and dies before the start of the job is committed.
  while (a_.count(Kind::kAcquired) == 0) {
    a_.leases.on_tick(now += 10ms);
    for (const consensus::Proposal& proposal : a_.leases.take_proposals())
      a_.leases.on_result(now, registers_.change(now, proposal));
    for (Event& e : a_.leases.take_events()) a_.events.push_back(e);
  }
  submit(b_, 2, now);
  run(registers_, {&b_}, now, now + 3000ms);
  EXPECT_EQ(b_.count(Act::kStart), 1);
}

TEST_F(RunOnceJobsTest, AJobThatNeverRanMayStartAgain) {
  submit(a_, 1, at(100));
  submit(b_, 2, at(100));
  run(registers_, {&a_, &b_}, at(100), at(1000));
  Gateway& first = a_.count(Act::kStart) ? a_ : b_;
  Gateway& second = a_.count(Act::kStart) ? b_ : a_;
  first.jobs.on_run_finished(at(1000), "night", RunOnceJobs::RunEnd::kNeverRan, {}, 200ms);
  run(registers_, {&a_, &b_}, at(1000), at(2000));
  EXPECT_EQ(first.count(Act::kShed), 1);
  EXPECT_EQ(second.count(Act::kStart), 1);
}

TEST_F(RunOnceJobsTest, AnotherStatementUnderTheKeyIsRejected) {
  submit(a_, 1, at(100), 7);
  run(registers_, {&a_}, at(100), at(1000));
  a_.jobs.on_run_finished(at(1000), "night", RunOnceJobs::RunEnd::kCompleted, "");
  submit(b_, 2, at(1000), 8);
  run(registers_, {&a_, &b_}, at(1000), at(2000));
  EXPECT_EQ(b_.count(Act::kReject), 1);
}

TEST_F(RunOnceJobsTest, ACallAtItsDeadlineIsAnsweredAndTheRunGoesOn) {
  submit(a_, 1, at(100));
  run(registers_, {&a_}, at(100), at(11000));
  EXPECT_EQ(a_.count(Act::kFail), 1);
  EXPECT_FALSE(a_.jobs.is_idle());
  a_.jobs.on_run_finished(at(11000), "night", RunOnceJobs::RunEnd::kCompleted, "late\n");
  run(registers_, {&a_}, at(11000), at(12000));
  EXPECT_TRUE(a_.jobs.is_idle());
  submit(b_, 2, at(12000));
  run(registers_, {&b_}, at(12000), at(13000));
  EXPECT_EQ(b_.count(Act::kComplete), 1);
}

TEST_F(RunOnceJobsTest, AShutdownAnswersWaitingCallsAndARunThatHasStartedGoesOn) {
  submit(a_, 1, at(100));
  run(registers_, {&a_}, at(100), at(500));
  ASSERT_EQ(a_.count(Act::kStart), 1);
  a_.jobs.submit(at(500), "another", 2, 7, at(10000));
  a_.jobs.stop_accepting();
  a_.go(registers_, at(500));
  EXPECT_EQ(a_.count(Act::kFail), 1);
  submit(a_, 3, at(510));
  a_.go(registers_, at(510));
  EXPECT_EQ(a_.count(Act::kFail), 2);
  EXPECT_TRUE(a_.jobs.is_running());
  a_.jobs.on_run_finished(at(600), "night", RunOnceJobs::RunEnd::kCompleted, "done\n");
  run(registers_, {&a_}, at(600), at(700));
  EXPECT_EQ(a_.count(Act::kComplete), 1);
  EXPECT_TRUE(a_.jobs.is_idle());
}

TEST_F(RunOnceJobsTest, AGatewayThatLostTheLeaseAnswersItsCallsAndKeepsTheRecordOfTheNext) {
  submit(a_, 1, at(100));
  run(registers_, {&a_}, at(100), at(500));
  submit(b_, 2, at(500));
  run(registers_, {&b_}, at(500), at(3000));  // a is paused past its lease
  EXPECT_EQ(b_.count(Act::kFail), 1);
  a_.jobs.on_run_finished(at(3000), "night", RunOnceJobs::RunEnd::kCompleted, "done\n");
  run(registers_, {&a_}, at(3000), at(5000));
  EXPECT_EQ(a_.count(Act::kComplete), 1);
  EXPECT_TRUE(a_.jobs.is_idle());
  EXPECT_EQ(decode_run_once_job(decode_lease_record(registers_.stored["merge:night"].value)->state).stage,
            RunOnceJob::Stage::kUnknown);
}

TEST(RunOnceJobTest, UnreadableBytesAreNeverTakenForAJobThatDidNotStart) {
  EXPECT_EQ(decode_run_once_job("").stage, RunOnceJob::Stage::kNone);
  EXPECT_EQ(decode_run_once_job("garbage").stage, RunOnceJob::Stage::kUnknown);
  RunOnceJob m;
  m.stage = RunOnceJob::Stage::kStarted;
  m.run_id = 5;
  EXPECT_EQ(decode_run_once_job(encode(m)), m);
  for (size_t cut = 1; cut < encode(m).size(); ++cut)
    EXPECT_NE(decode_run_once_job(encode(m).substr(0, cut)).stage, RunOnceJob::Stage::kNone);
}

}  // namespace
}  // namespace firvalve::lease
