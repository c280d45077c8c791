#include "lease/lease_manager.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "lease/fence.h"
#include "lease/run_once_jobs.h"

namespace firvalve::lease {
namespace {

using Kind = Event::Kind;

// A record that answers at once, as the duties see it.
struct Facts {
  std::map<std::string, consensus::Register> facts;
  consensus::ProposalResult change(Ms now, const consensus::Proposal& w) {
    consensus::Register& f = facts[w.key];
    consensus::ProposalResult end{consensus::ProposalResult::Kind::kConflict, w, {}, now};
    if (f.made(w.id) && f.version > 0) {
      end.kind = consensus::ProposalResult::Kind::kAgreed;
    } else if (f.change == w.expected) {
      if (f.version > 0) f.before.insert(f.before.begin(), f.change);
      ++f.version;
      f.change = w.id;
      f.value = w.value;
      end.kind = consensus::ProposalResult::Kind::kAgreed;
    }
    end.fact = f;
    return end;
  }
};

struct Gateway {
  Gateway(const std::string& name, uint64_t life, Ms lease = 1000)
      : options{name, life, lease}, duties(1, options), merges(duties, life) {
    duties.looked(1);
  }
  // What it asks is answered by the record; what it says is kept.
  void go(Facts& record, Ms now) {
    duties.due(now);
    merges.due(now);
    for (bool more = true; more;) {
      more = false;
      for (const consensus::Proposal& w : duties.take_wishes()) {
        more = true;
        duties.ended(now, record.change(now, w));
      }
      for (Event& e : duties.take_events()) {
        more = true;
        merges.handle(now, e);
        events.push_back(e);
      }
    }
    for (RunOnceJobs::Action& a : merges.take_actions()) actions.push_back(a);
  }
  void see(Facts& record, Ms now) {
    for (const auto& [key, fact] : record.facts) duties.saw(now, key, fact);
    go(record, now);
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
  LeaseManager duties;
  RunOnceJobs merges;
  std::vector<Event> events;
  std::vector<RunOnceJobs::Action> actions;
};

// Gateways that are looked after every 10 ms, or as said; those that are not named stand still.
void run(Facts& record, std::vector<Gateway*> gateways, Ms from, Ms until, Ms step = 10) {
  for (Ms t = from; t <= until; t += step)
    for (Gateway* g : gateways) g->see(record, t);
}

class DutiesTest : public testing::Test {
 protected:
  Facts record_;
  Gateway a_{"a", 1001}, b_{"b", 2002};
};

TEST_F(DutiesTest, OneOfTwoTakesAFreeDutyAndKeepsIt) {
  a_.duties.want(1, "d");
  b_.duties.want(1, "d");
  run(record_, {&a_, &b_}, 1, 20000);
  EXPECT_EQ(a_.count(Kind::kTaken) + b_.count(Kind::kTaken), 1);
  EXPECT_EQ(a_.count(Kind::kLost) + b_.count(Kind::kLost), 0);
  EXPECT_NE(a_.duties.may_act(20000, "d").has_value(), b_.duties.may_act(20000, "d").has_value());
  EXPECT_EQ(read_claim(record_.facts["d"].value)->epoch, 1u);
}

TEST_F(DutiesTest, AHolderThatStandsStillStopsBeforeTheNextBegins) {
  a_.duties.want(1, "d");
  run(record_, {&a_}, 1, 500);
  ASSERT_TRUE(a_.duties.may_act(500, "d"));
  b_.duties.want(500, "d");
  Ms stopped = 0, began = 0;
  for (Ms t = 510; t < 4000 && began == 0; t += 1) {
    b_.see(record_, t);
    if (stopped == 0 && !a_.duties.may_act(t, "d")) stopped = t;
    if (b_.duties.may_act(t, "d")) began = t;
  }
  EXPECT_GT(stopped, 500);
  EXPECT_GE(began - stopped, guard_of(1000));
  EXPECT_LT(began, 500 + 1000 + 1000);  // the lease and a second more
  // It goes on in the middle of what it did: nothing of it is left to it.
  a_.go(record_, began);
  EXPECT_FALSE(a_.duties.may_act(began, "d"));
  EXPECT_EQ(a_.count(Kind::kLost), 1);
  EXPECT_EQ(b_.duties.may_act(began, "d"), 2u);
}

TEST_F(DutiesTest, TheLeaseCountsFromBeforeItWasAskedFor) {
  a_.duties.want(1, "d");
  Ms now = 1;
  std::vector<consensus::Proposal> wishes;
  while (wishes.empty()) a_.duties.due(now += 10), wishes = a_.duties.take_wishes();
  const Ms asked = now;
  a_.duties.ended(asked + 600, record_.change(asked, wishes[0]));
  EXPECT_TRUE(a_.duties.may_act(asked + 1000 - guard_of(1000) - 1, "d"));
  EXPECT_FALSE(a_.duties.may_act(asked + 1000 - guard_of(1000), "d"));
}

TEST_F(DutiesTest, AClaimThatWasAgreedTooLateIsNeverActedUnder) {
  a_.duties.want(1, "d");
  Ms now = 1;
  std::vector<consensus::Proposal> wishes;
  while (wishes.empty()) a_.duties.due(now += 10), wishes = a_.duties.take_wishes();
  a_.duties.ended(now + 2000, record_.change(now, wishes[0]));
  EXPECT_FALSE(a_.duties.may_act(now + 2000, "d"));
  run(record_, {&a_}, now + 2000, now + 3000);
  EXPECT_EQ(a_.duties.may_act(now + 3000, "d"), 2u);  // under an epoch of its own
}

TEST_F(DutiesTest, AnUnknownEndIsAskedAgainUnderItsId) {
  a_.duties.want(1, "d");
  Ms now = 1;
  std::vector<consensus::Proposal> wishes;
  while (wishes.empty()) a_.duties.due(now += 10), wishes = a_.duties.take_wishes();
  record_.change(now, wishes[0]);  // it stands, and the answer is lost
  a_.duties.ended(now + 400, {consensus::ProposalResult::Kind::kUnknown, wishes[0], {}, now});
  const auto again = a_.duties.take_wishes();
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].id, wishes[0].id);
  a_.duties.ended(now + 410, record_.change(now + 410, again[0]));
  EXPECT_EQ(a_.duties.may_act(now + 410, "d"), 1u);
  EXPECT_EQ(record_.facts["d"].version, 1u);
}

TEST_F(DutiesTest, AStateThatNoMajorityHeardOfIsAskedForAnewAndToldOnce) {
  a_.duties.want(1, "d");
  run(record_, {&a_}, 1, 500);
  ASSERT_TRUE(a_.duties.state(500, "d", "its end"));
  const auto wishes = a_.duties.take_wishes();
  ASSERT_EQ(wishes.size(), 1u);
  a_.duties.ended(600, {consensus::ProposalResult::Kind::kNoMajority, wishes[0], {}, 500});
  run(record_, {&a_}, 600, 700);
  EXPECT_EQ(a_.count(Kind::kStated), 1);
  EXPECT_EQ(read_claim(record_.facts["d"].value)->state, "its end");
  // And where the duty is lost over it, that is told.
  ASSERT_TRUE(a_.duties.state(700, "d", "another"));
  a_.duties.ended(800,
                  {consensus::ProposalResult::Kind::kNoMajority, a_.duties.take_wishes().at(0), {}, 700});
  a_.duties.due(5000);
  int told = 0;
  for (const Event& e : a_.duties.take_events()) told += e.kind == Kind::kStated && !e.made;
  EXPECT_EQ(told, 1);
}

TEST_F(DutiesTest, AHandOverLeavesNoGapOfALeaseAndPassesTheState) {
  a_.duties.want(1, "d");
  run(record_, {&a_}, 1, 500);
  ASSERT_TRUE(a_.duties.state(500, "d", "number 17"));
  b_.duties.want(500, "d");
  run(record_, {&a_, &b_}, 500, 700);
  EXPECT_EQ(a_.count(Kind::kStated), 1);
  a_.duties.leave(700);
  EXPECT_FALSE(a_.duties.may_act(700, "d"));
  Ms began = 0;
  for (Ms t = 700; t < 2000 && began == 0; t += 1) {
    a_.go(record_, t);
    b_.see(record_, t);
    if (b_.duties.may_act(t, "d")) began = t;
  }
  EXPECT_LT(began, 700 + 100);
  EXPECT_EQ(a_.count(Kind::kLeft), 1);
  EXPECT_FALSE(a_.duties.holds_any());
  EXPECT_EQ(b_.duties.claim("d")->state, "number 17");
}

TEST_F(DutiesTest, WhatHasBegunIsKeptUntilItsEnd) {
  a_.duties.want(1, "d");
  run(record_, {&a_}, 1, 500);
  a_.duties.pin(500, "d", true);
  a_.duties.leave(500);
  run(record_, {&a_}, 500, 5000);
  EXPECT_TRUE(a_.duties.holds_any());
  EXPECT_EQ(a_.count(Kind::kLost), 0);
  EXPECT_TRUE(a_.duties.state(5000, "d", "its end"));
  a_.duties.pin(5000, "d", false);
  run(record_, {&a_}, 5000, 5100);
  EXPECT_FALSE(a_.duties.holds_any());
  EXPECT_EQ(read_claim(record_.facts["d"].value)->state, "its end");
}

TEST_F(DutiesTest, ALameHolderHandsOnByItself) {
  a_.duties.want(1, "d");
  run(record_, {&a_}, 1, 500);
  b_.duties.want(500, "d");
  for (int i = 0; i < 3; ++i) a_.duties.stalled(600, 300);
  run(record_, {&a_, &b_}, 600, 1200);
  EXPECT_EQ(a_.count(Kind::kLeft), 1);
  EXPECT_TRUE(b_.duties.may_act(1200, "d"));
  run(record_, {&a_, &b_}, 1200, 30000);
  EXPECT_EQ(b_.count(Kind::kLost) + b_.count(Kind::kLeft), 0);  // it does not come back for it
}

TEST_F(DutiesTest, AShortPauseIsNoStall) {
  for (int i = 0; i < 10; ++i) a_.duties.stalled(600, guard_of(1000) - 1);
  a_.duties.want(1, "d");
  run(record_, {&a_}, 600, 2000);
  EXPECT_EQ(a_.count(Kind::kLeft), 0);
}

TEST_F(DutiesTest, OneKeeperThatLagsOrShowsWhatNeverStandsEndsNothing) {
  a_.duties.want(1, "d");
  run(record_, {&a_}, 1, 500);
  consensus::Register other = record_.facts["d"];
  ++other.version;
  other.change = 99;
  LeaseRecord claim = *read_claim(other.value);
  claim.holder = "c";
  claim.epoch = 2;
  other.value = written(claim);
  a_.duties.saw(500, "d", other);
  EXPECT_TRUE(a_.duties.may_act(500, "d"));
  run(record_, {&a_}, 500, 600);  // it asks the record, which knows nothing of it
  EXPECT_TRUE(a_.duties.may_act(600, "d"));
  EXPECT_EQ(a_.count(Kind::kLost), 0);
}

TEST_F(DutiesTest, AClaimThatCannotBeReadIsNobodysToTake) {
  record_.facts["d"] = {1, 5, {}, "not a claim", false};
  a_.duties.want(1, "d");
  run(record_, {&a_}, 1, 5000);
  EXPECT_EQ(a_.count(Kind::kUnreadable), 1);
  EXPECT_EQ(a_.count(Kind::kTaken), 0);
}

TEST_F(DutiesTest, ALongerLeaseOfTheHoldersFileIsWaitedFor) {
  Gateway slow("slow", 3003, 5000);
  slow.duties.want(1, "d");
  run(record_, {&slow}, 1, 500);
  b_.duties.want(500, "d");
  run(record_, {&b_}, 500, 5000);
  EXPECT_EQ(b_.count(Kind::kTaken), 0);
  run(record_, {&b_}, 5000, 7000);
  EXPECT_EQ(b_.count(Kind::kTaken), 1);
}

TEST(DutiesSpread, TheDutiesOfOneThatDiedGoToMany) {
  Facts record;
  std::vector<std::unique_ptr<Gateway>> all;
  std::vector<Gateway*> up;
  for (int i = 0; i < 10; ++i) {
    all.push_back(
        std::make_unique<Gateway>("127.0.0.1:" + std::to_string(7000 + i), 5000 + static_cast<uint64_t>(i)));
    up.push_back(all.back().get());
  }
  for (Gateway* g : up)
    for (int d = 0; d < 200; ++d) g->duties.want(1, "trial:" + std::to_string(d));
  run(record, up, 1, 500, 1);
  run(record, up, 500, 2000);
  size_t most = 0, least = 200;
  for (Gateway* g : up) most = std::max(most, g->duties.held()), least = std::min(least, g->duties.held());
  EXPECT_LE(most, 40u);
  EXPECT_GE(least, 8u);
  const size_t dead = up[0]->duties.held();
  std::map<std::string, size_t> before;
  for (Gateway* g : up) before[g->options.self] = g->duties.held();
  up.erase(up.begin());
  run(record, up, 2000, 6000, 5);
  size_t gained = 0, heirs = 0;
  for (Gateway* g : up) {
    gained += g->duties.held() - before[g->options.self];
    heirs += g->duties.held() > before[g->options.self];
    EXPECT_EQ(g->count(Kind::kLost), 0);
  }
  EXPECT_EQ(gained, dead);
  EXPECT_GE(heirs, 5u);
}

TEST(FenceTest, AnOlderEpochIsRefusedAndTheSamePasses) {
  Fence fence;
  EXPECT_TRUE(fence.pass("d", 3));
  EXPECT_TRUE(fence.pass("d", 3));
  EXPECT_FALSE(fence.pass("d", 2));
  EXPECT_TRUE(fence.pass("e", 1));
  EXPECT_TRUE(fence.pass("d", 4));
  EXPECT_FALSE(fence.pass("d", 3));
}

class MergesTest : public DutiesTest {
 protected:
  using Act = RunOnceJobs::Action::Kind;
  void ask(Gateway& g, RunOnceJobs::Call call, Ms now, uint64_t statement = 7) {
    g.merges.ask(now, "night", call, statement, now + 10000);
  }
};

TEST_F(MergesTest, TwoThatAreAskedBeginItOnceAndBothTellItsEnd) {
  ask(a_, 1, 100);
  ask(b_, 2, 100);
  run(record_, {&a_, &b_}, 100, 1000);
  EXPECT_EQ(a_.count(Act::kStart) + b_.count(Act::kStart), 1);
  Gateway& runs = a_.count(Act::kStart) ? a_ : b_;
  runs.merges.run_ended(1000, "night", RunOnceJobs::End::kAnswered, "12 rows\n");
  run(record_, {&a_, &b_}, 1000, 1500);
  for (Gateway* g : {&a_, &b_}) {
    EXPECT_EQ(g->count(Act::kAnswer), 1);
    EXPECT_EQ(g->actions.back().text, "12 rows\n");
    EXPECT_TRUE(g->merges.idle());
  }
  ask(a_, 3, 5000);
  run(record_, {&a_}, 5000, 5500);
  EXPECT_EQ(a_.count(Act::kStart) + b_.count(Act::kStart), 1);
  EXPECT_EQ(a_.actions.back().kind, Act::kAnswer);
}

TEST_F(MergesTest, AHolderThatDiedInTheMiddleLeavesWhatMayHaveRun) {
  ask(a_, 1, 100);
  run(record_, {&a_}, 100, 1000);
  ASSERT_EQ(a_.count(Act::kStart), 1);
  ask(b_, 2, 1000);
  run(record_, {&b_}, 1000, 4000);
  EXPECT_EQ(b_.count(Act::kStart), 0);
  EXPECT_EQ(b_.count(Act::kFail), 1);
  Gateway c("c", 4004);
  ask(c, 3, 5000);
  run(record_, {&c}, 5000, 8000);
  EXPECT_EQ(c.count(Act::kStart), 0);
  EXPECT_EQ(c.count(Act::kFail), 1);
}

TEST_F(MergesTest, AHolderThatDiedBeforeItsNoteLeavesItToTheNext) {
  ask(a_, 1, 100);
  Ms now = 100;
  // It claims, and dies before the note of the beginning is agreed.
  while (a_.count(Kind::kTaken) == 0) {
    a_.duties.due(now += 10);
    for (const consensus::Proposal& w : a_.duties.take_wishes()) a_.duties.ended(now, record_.change(now, w));
    for (Event& e : a_.duties.take_events()) a_.events.push_back(e);
  }
  ask(b_, 2, now);
  run(record_, {&b_}, now, now + 3000);
  EXPECT_EQ(b_.count(Act::kStart), 1);
}

TEST_F(MergesTest, WhatNeverRanMayBeginAgain) {
  ask(a_, 1, 100);
  ask(b_, 2, 100);
  run(record_, {&a_, &b_}, 100, 1000);
  Gateway& first = a_.count(Act::kStart) ? a_ : b_;
  Gateway& second = a_.count(Act::kStart) ? b_ : a_;
  first.merges.run_ended(1000, "night", RunOnceJobs::End::kNeverRan, {}, 200);
  run(record_, {&a_, &b_}, 1000, 2000);
  EXPECT_EQ(first.count(Act::kShed), 1);
  EXPECT_EQ(second.count(Act::kStart), 1);
}

TEST_F(MergesTest, AnotherStatementUnderTheNameIsRefused) {
  ask(a_, 1, 100, 7);
  run(record_, {&a_}, 100, 1000);
  a_.merges.run_ended(1000, "night", RunOnceJobs::End::kAnswered, "");
  ask(b_, 2, 1000, 8);
  run(record_, {&a_, &b_}, 1000, 2000);
  EXPECT_EQ(b_.count(Act::kRefuse), 1);
}

TEST_F(MergesTest, WhoseTimeIsUpIsToldAndTheRunGoesOn) {
  ask(a_, 1, 100);
  run(record_, {&a_}, 100, 11000);
  EXPECT_EQ(a_.count(Act::kFail), 1);
  EXPECT_FALSE(a_.merges.idle());
  a_.merges.run_ended(11000, "night", RunOnceJobs::End::kAnswered, "late\n");
  run(record_, {&a_}, 11000, 12000);
  EXPECT_TRUE(a_.merges.idle());
  ask(b_, 2, 12000);
  run(record_, {&b_}, 12000, 13000);
  EXPECT_EQ(b_.count(Act::kAnswer), 1);
}

TEST_F(MergesTest, WhoWaitsAtAGatewayThatEndsIsToldAtOnceAndWhatHasBegunGoesOn) {
  ask(a_, 1, 100);
  run(record_, {&a_}, 100, 500);
  ASSERT_EQ(a_.count(Act::kStart), 1);
  a_.merges.ask(500, "another", 2, 7, 10000);
  a_.merges.leave();
  a_.go(record_, 500);
  EXPECT_EQ(a_.count(Act::kFail), 1);
  ask(a_, 3, 510);
  a_.go(record_, 510);
  EXPECT_EQ(a_.count(Act::kFail), 2);
  EXPECT_TRUE(a_.merges.runs());
  a_.merges.run_ended(600, "night", RunOnceJobs::End::kAnswered, "done\n");
  run(record_, {&a_}, 600, 700);
  EXPECT_EQ(a_.count(Act::kAnswer), 1);
  EXPECT_TRUE(a_.merges.idle());
}

TEST_F(MergesTest, WhoLostTheDutyTellsItsOwnAndLeavesTheRecordToTheNext) {
  ask(a_, 1, 100);
  run(record_, {&a_}, 100, 500);
  ask(b_, 2, 500);
  run(record_, {&b_}, 500, 3000);  // a stands still past its lease
  EXPECT_EQ(b_.count(Act::kFail), 1);
  a_.merges.run_ended(3000, "night", RunOnceJobs::End::kAnswered, "done\n");
  run(record_, {&a_}, 3000, 5000);
  EXPECT_EQ(a_.count(Act::kAnswer), 1);
  EXPECT_TRUE(a_.merges.idle());
  EXPECT_EQ(read_merge(read_claim(record_.facts["merge:night"].value)->state).stage,
            RunOnceJob::Stage::kUnknown);
}

TEST(MergeState, BytesThatAreNoneAreNeverTakenForNotBegun) {
  EXPECT_EQ(read_merge("").stage, RunOnceJob::Stage::kNone);
  EXPECT_EQ(read_merge("garbage").stage, RunOnceJob::Stage::kUnknown);
  RunOnceJob m;
  m.stage = RunOnceJob::Stage::kBegun;
  m.run = 5;
  EXPECT_EQ(read_merge(written(m)), m);
  for (size_t cut = 1; cut < written(m).size(); ++cut)
    EXPECT_NE(read_merge(written(m).substr(0, cut)).stage, RunOnceJob::Stage::kNone);
}

}  // namespace
}  // namespace firvalve::lease
