// The cluster in virtual time, with drawn faults, under the invariant checker; and the checker under injected
// violations.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/injected_bug.h"
#include "bound.h"
#include "simulation/fleet_world.h"

namespace firvalve::simulation {
namespace {

FleetOptions rough(uint64_t seed) {
  FleetOptions o;
  o.seed = seed;
  o.keepers = seed % 2 ? 3 : 5;
  o.gateways = 7 + static_cast<uint32_t>(seed % 5);
  o.folders = seed % 3 != 0;
  o.lost = (seed % 4) * 0.1;
  o.repeated = 0.05;
  o.late = seed % 2 ? 0.02 : 0;
  o.faults = 0.5;
  if (seed_limit() < 20) o.span = 6000;
  return o;
}

std::string told(const FleetOutcome& out) {
  std::string all;
  for (const FleetViolation& b : out.violations) all += b.rule + ": " + b.text + "\n";
  return all;
}

bool breaks(const FleetOutcome& out, const std::string& rule) {
  return std::any_of(out.violations.begin(), out.violations.end(),
                     [&](const FleetViolation& b) { return b.rule == rule; });
}

TEST(FleetWorld, ACalmFleetHoldsAllItsDutiesWithoutAGap) {
  FleetOptions o;
  const FleetOutcome out = play(o);
  EXPECT_EQ(told(out), "");
  EXPECT_EQ(out.taken, o.duties + o.merges);
  EXPECT_EQ(out.unheld_at_end, 0u);
  EXPECT_EQ(out.merges_ended, o.merges);
  EXPECT_GT(out.acts, 1000u);
  EXPECT_EQ(out.refused, 0u);
  EXPECT_GT(out.history.ops.size(), 100u);
}

TEST(FleetWorld, TheSameSeedIsTheSameHistory) {
  FleetOptions o = rough(3), other = rough(7);
  o.span = other.span = 6000;
  EXPECT_EQ(play(o).hash, play(o).hash);
  EXPECT_NE(play(o).hash, play(other).hash);
}

TEST(FleetWorld, TwentySeedsOfFaultsBreakNoRule) {
  uint64_t taken = 0, refused = 0, agreed = 0, refused_changes = 0;
  const uint64_t seeds = seed_limit();
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const FleetOutcome out = play(rough(seed));
    EXPECT_EQ(told(out), "") << "seed " << seed;
    EXPECT_GT(out.taken, 0u) << "seed " << seed;
    taken += out.taken;
    refused += out.refused;
    agreed += out.history.bulletins.size();
    refused_changes += out.refused_changes;
  }
  if (seeds < 20) return;                 // shorter ones: what follows is of the whole
  EXPECT_GT(agreed, 10 * seeds);          // versions and declarations that crossed
  EXPECT_GT(refused_changes, 5 * seeds);  // of which not all could stand
  EXPECT_GT(taken, 10 * seeds);           // faults did move duties
  EXPECT_GT(refused, 0u);                 // and acts of older epochs did arrive
}

TEST(FleetWorld, AKilledHolderIsFollowedWithinItsLeaseAndASecond) {
  FleetOptions o;
  o.gateways = 6;
  o.duties = 12;
  o.merges = o.readers = 0;
  for (int i = 0; i < 3; ++i)
    o.given.push_back(
        {FleetFault::Kind::kKill, 5000.0 + 6000 * i, -1, 3 + static_cast<uint32_t>(i), 0, false});
  const FleetOutcome out = play(o);
  EXPECT_EQ(told(out), "");
  EXPECT_EQ(out.unheld_at_end, 0u);
  ASSERT_GE(out.gaps.size(), 3u);  // they did hold some of the twelve
  for (const Ms gap : out.gaps) EXPECT_LT(gap, o.lease + 1000);
}

TEST(FleetWorld, WithoutAMajorityDutiesEndWithTheirLeaseAndComeBackWithIt) {
  FleetOptions o;
  o.given.push_back({FleetFault::Kind::kKill, 8000, 6000, 0, 0, false});
  o.given.push_back({FleetFault::Kind::kKill, 8000, 6000, 1, 0, false});
  const FleetOutcome out = play(o);
  EXPECT_EQ(told(out), "");
  EXPECT_EQ(out.unheld_at_end, 0u);
  for (const HeldSpan& s : out.history.held)
    EXPECT_FALSE(s.from < 8000 && s.until > 8000 + o.lease && s.until <= 14000) << s.lease;
}

TEST(FleetWorld, AThousandGatewaysAndAMajorityThatComesAndGoes) {
  FleetOptions o;
  o.gateways = seed_limit() < 20 ? 128 : 1024;
  o.keepers = 5;
  o.duties = 10;
  o.merges = 4;
  o.span = 4000;
  o.faults = 2;
  const FleetOutcome out = play(o);
  EXPECT_EQ(told(out), "");
  EXPECT_GE(out.taken, 10u);
}

// Each bug, injected into the real state machines, is found by the invariant checker on some of a few seeds.
class InjectedBugs : public testing::TestWithParam<std::pair<InjectedBug, const char*>> {};

TEST_P(InjectedBugs, AreFound) {
  const auto [bug, rule] = GetParam();
  bool found = false;
  for (uint64_t seed = 1; seed <= 2 * seed_limit() && !found; ++seed) {
    injected_bug = bug;
    const FleetOutcome out = play(rough(seed));
    found = breaks(out, rule);
    injected_bug = InjectedBug::kNone;
  }
  EXPECT_TRUE(found);
}

INSTANTIATE_TEST_SUITE_P(All, InjectedBugs,
                         testing::Values(std::pair(InjectedBug::kLeaseFromResponse, "one_holder"),
                                         std::pair(InjectedBug::kSkipTakeoverWait, "one_holder"),
                                         std::pair(InjectedBug::kRecordIntentAfterStart, "once"),
                                         std::pair(InjectedBug::kSkipFencingCheck, "acts_in_order"),
                                         std::pair(InjectedBug::kCheckStaleDeclarations, "compatible"),
                                         std::pair(InjectedBug::kSkipPromiseCheck, "linearizable")),
                         [](const auto& p) {
                           return std::string(p.param.second) +
                                  std::to_string(static_cast<int>(p.param.first));
                         });

// A majority that loses its memory at once is past what is promised: nothing is agreed any more, and nothing
// wrong.
TEST(FleetWorld, KeepersThatForgotTogetherSayNothingRatherThanSomethingElse) {
  FleetOptions o;
  o.folders = false;
  o.span = 12000;
  for (uint32_t k = 0; k < 2; ++k) o.given.push_back({FleetFault::Kind::kKill, 5000.0 + k, 0, k, 0, true});
  bool found = false;
  for (o.seed = 1; o.seed <= 5; ++o.seed) {
    const FleetOutcome out = play(o);
    EXPECT_EQ(told(out), "");
    for (const RecordOp& op : out.history.ops) EXPECT_LT(op.ended, 6500);
    injected_bug = InjectedBug::kForgetfulAcceptor;
    found |= breaks(play(o), "linearizable");
    injected_bug = InjectedBug::kNone;
  }
  EXPECT_TRUE(found);
}

TEST(FleetWorld, ABadHistoryIsCutDownToAShortOne) {
  injected_bug = InjectedBug::kSkipTakeoverWait;
  FleetOptions o = rough(1);
  o.span = 6000;
  const FleetOptions cut = cut_down(o, "one_holder");
  const FleetOutcome out = play(cut);
  injected_bug = InjectedBug::kNone;
  EXPECT_TRUE(breaks(out, "one_holder"));
  EXPECT_LT(cut.given.size(), 3u);
  EXPECT_LE(cut.span, o.span);
}

TEST(InvariantChecker, FindsEachViolationAndNothingInAGoodHistory) {
  FleetHistory h;
  h.held = {{"d", "a", 1, 0, 100}, {"d", "b", 2, 101, 200}, {"e", "b", 1, 50, 150}};
  h.acts = {{"d", "r", 1, 10}, {"d", "r", 2, 110}, {"e", "r", 1, 120}};
  h.begun = {{"m", 1}, {"n", 2}};
  h.bulletins = {read_agreed(
      "b", 1, R"({"versions":[{"number":1,"state":"live","schema":{"fields":[{"number":1,"name":"x"}]}},
      {"number":2,"state":"gone","schema":{"fields":[]}}],"declarations":[{"subscriber":"s","reads":[1]}]})")};
  using Kind = RecordOp::Kind;
  h.ops = {{Kind::kChange, "k", 0, 5, 1, 11, 0},
           {Kind::kRead, "k", 3, 6, 0, 0, 0},
           {Kind::kChange, "k", 6, 9, 2, 12, 11}};
  EXPECT_TRUE(check_invariants(h).empty());
  const auto rule = [&](auto change) {
    FleetHistory bad = h;
    change(bad);
    const auto all = check_invariants(bad);
    return all.empty() ? std::string() : all.front().rule;
  };
  EXPECT_EQ(rule([](FleetHistory& b) { b.held[1].from = 99; }), "one_holder");
  EXPECT_EQ(rule([](FleetHistory& b) { b.held[1].epoch = 1; }), "epochs_grow");
  EXPECT_EQ(rule([](FleetHistory& b) { b.acts.push_back({"d", "r", 1, 130}); }), "acts_in_order");
  EXPECT_EQ(rule([](FleetHistory& b) { b.begun.push_back({"m", 3}); }), "once");
  EXPECT_EQ(rule([](FleetHistory& b) { b.bulletins[0].published[2] = {}; }), "compatible");
  EXPECT_EQ(rule([](FleetHistory& b) { b.ops[2].id = 11, b.ops[2].version = 1, b.ops[2].on = 0; }),
            "linearizable");
  EXPECT_EQ(rule([](FleetHistory& b) {
              b.ops.push_back({Kind::kRead, "k", 10, 11, 1, 11, 0});
            }),
            "linearizable");
  EXPECT_EQ(rule([](FleetHistory& b) { b.ops[2].on = 77; }), "linearizable");
  EXPECT_EQ(rule([](FleetHistory& b) {
              b.ops.push_back({Kind::kRead, "k", 1, 2, 1, 99, 0});
            }),
            "linearizable");
}

TEST(InvariantChecker, ReadsSpansFromTheLogsOfProcesses) {
  FleetHistory h;
  read_spans("a",
             "not json\n"
             R"({"event":"lease.acquired","lease":"d","epoch":"3","at_ms":"100.5","until_ms":"1000"})"
             "\n"
             R"({"event":"lease.renewed","lease":"d","epoch":"3","at_ms":"500","until_ms":"1400"})"
             "\n"
             R"({"event":"lease.released","lease":"d","epoch":"3","at_ms":"700","reason":"x"})"
             "\n"
             R"({"event":"lease.acquired","lease":"d","epoch":"5","at_ms":"900","until_ms":"1800"})"
             "\n",
             h);
  ASSERT_EQ(h.held.size(), 2u);
  EXPECT_EQ(h.held[0].until, 700);
  EXPECT_EQ(h.held[1].until, 1800);
  EXPECT_EQ(h.held[1].epoch, 5u);
}

}  // namespace
}  // namespace firvalve::simulation
