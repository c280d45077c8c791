// The cluster in virtual time, with drawn faults, under the invariant checker; and the checker under injected
// violations.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/injected_bug.h"
#include "bound.h"
#include "simulation/fleet_world.h"

namespace firvalve::simulation {
namespace {

ClusterWorldOptions rough(uint64_t seed) {
  ClusterWorldOptions o;
  o.seed = seed;
  o.replicas = seed % 2 ? 3 : 5;
  o.gateways = 7 + static_cast<uint32_t>(seed % 5);
  o.have_disks = seed % 3 != 0;
  o.lost_share = (seed % 4) * 0.1;
  o.duplicated_share = 0.05;
  o.late_share = seed % 2 ? 0.02 : 0;
  o.faults_per_second = 0.5;
  if (seed_limit() < 20) o.duration = 6000;
  return o;
}

std::string told(const ClusterWorldOutcome& out) {
  std::string all;
  for (const InvariantViolation& b : out.violations) all += b.rule + ": " + b.text + "\n";
  return all;
}

bool breaks(const ClusterWorldOutcome& out, const std::string& rule) {
  return std::any_of(out.violations.begin(), out.violations.end(),
                     [&](const InvariantViolation& b) { return b.rule == rule; });
}

TEST(FleetWorld, ACalmFleetHoldsAllItsDutiesWithoutAGap) {
  ClusterWorldOptions o;
  const ClusterWorldOutcome out = play(o);
  EXPECT_EQ(told(out), "");
  EXPECT_EQ(out.acquisitions, o.leases + o.jobs);
  EXPECT_EQ(out.unheld_leases, 0u);
  EXPECT_EQ(out.finished_jobs, o.jobs);
  EXPECT_GT(out.accepted_requests, 1000u);
  EXPECT_EQ(out.rejected_requests, 0u);
  EXPECT_GT(out.history.operations.size(), 100u);
}

TEST(FleetWorld, TheSameSeedIsTheSameHistory) {
  ClusterWorldOptions o = rough(3), other = rough(7);
  o.duration = other.duration = 6000;
  EXPECT_EQ(play(o).hash, play(o).hash);
  EXPECT_NE(play(o).hash, play(other).hash);
}

TEST(FleetWorld, TwentySeedsOfFaultsBreakNoRule) {
  uint64_t taken = 0, refused = 0, agreed = 0, refused_changes = 0;
  const uint64_t seeds = seed_limit();
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const ClusterWorldOutcome out = play(rough(seed));
    EXPECT_EQ(told(out), "") << "seed " << seed;
    EXPECT_GT(out.acquisitions, 0u) << "seed " << seed;
    taken += out.acquisitions;
    refused += out.rejected_requests;
    agreed += out.history.topics.size();
    refused_changes += out.rejected_changes;
  }
  if (seeds < 20) return;                 // shorter ones: what follows is of the whole
  EXPECT_GT(agreed, 10 * seeds);          // versions and declarations that crossed
  EXPECT_GT(refused_changes, 5 * seeds);  // of which not all could stand
  EXPECT_GT(taken, 10 * seeds);           // faults did move duties
  EXPECT_GT(refused, 0u);                 // and acts of older epochs did arrive
}

TEST(FleetWorld, AKilledHolderIsFollowedWithinItsLeaseAndASecond) {
  ClusterWorldOptions o;
  o.gateways = 6;
  o.leases = 12;
  o.jobs = o.readers = 0;
  for (int i = 0; i < 3; ++i)
    o.given_faults.push_back(
        {ClusterFault::Kind::kKill, 5000.0 + 6000 * i, -1, 3 + static_cast<uint32_t>(i), 0, false});
  const ClusterWorldOutcome out = play(o);
  EXPECT_EQ(told(out), "");
  EXPECT_EQ(out.unheld_leases, 0u);
  ASSERT_GE(out.gaps.size(), 3u);  // they did hold some of the twelve
  for (const Ms gap : out.gaps) EXPECT_LT(gap, o.lease_duration + 1000);
}

TEST(FleetWorld, WithoutAMajorityDutiesEndWithTheirLeaseAndComeBackWithIt) {
  ClusterWorldOptions o;
  o.given_faults.push_back({ClusterFault::Kind::kKill, 8000, 6000, 0, 0, false});
  o.given_faults.push_back({ClusterFault::Kind::kKill, 8000, 6000, 1, 0, false});
  const ClusterWorldOutcome out = play(o);
  EXPECT_EQ(told(out), "");
  EXPECT_EQ(out.unheld_leases, 0u);
  for (const LeaseTerm& s : out.history.lease_terms)
    EXPECT_FALSE(s.from < 8000 && s.until > 8000 + o.lease_duration && s.until <= 14000) << s.lease;
}

TEST(FleetWorld, AThousandGatewaysAndAMajorityThatComesAndGoes) {
  ClusterWorldOptions o;
  o.gateways = seed_limit() < 20 ? 128 : 1024;
  o.replicas = 5;
  o.leases = 10;
  o.jobs = 4;
  o.duration = 4000;
  o.faults_per_second = 2;
  const ClusterWorldOutcome out = play(o);
  EXPECT_EQ(told(out), "");
  EXPECT_GE(out.acquisitions, 10u);
}

// Each bug, injected into the real state machines, is found by the invariant checker on some of a few seeds.
class InjectedBugs : public testing::TestWithParam<std::pair<InjectedBug, const char*>> {};

TEST_P(InjectedBugs, AreFound) {
  const auto [bug, rule] = GetParam();
  bool found = false;
  for (uint64_t seed = 1; seed <= 2 * seed_limit() && !found; ++seed) {
    injected_bug = bug;
    const ClusterWorldOutcome out = play(rough(seed));
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
  ClusterWorldOptions o;
  o.have_disks = false;
  o.duration = 12000;
  for (uint32_t k = 0; k < 2; ++k)
    o.given_faults.push_back({ClusterFault::Kind::kKill, 5000.0 + k, 0, k, 0, true});
  bool found = false;
  for (o.seed = 1; o.seed <= 5; ++o.seed) {
    const ClusterWorldOutcome out = play(o);
    EXPECT_EQ(told(out), "");
    for (const RegisterOperation& op : out.history.operations) EXPECT_LT(op.ended, 6500);
    injected_bug = InjectedBug::kForgetfulAcceptor;
    found |= breaks(play(o), "linearizable");
    injected_bug = InjectedBug::kNone;
  }
  EXPECT_TRUE(found);
}

TEST(FleetWorld, ABadHistoryIsCutDownToAShortOne) {
  injected_bug = InjectedBug::kSkipTakeoverWait;
  ClusterWorldOptions o = rough(1);
  o.duration = 6000;
  const ClusterWorldOptions cut = minimise(o, "one_holder");
  const ClusterWorldOutcome out = play(cut);
  injected_bug = InjectedBug::kNone;
  EXPECT_TRUE(breaks(out, "one_holder"));
  EXPECT_LT(cut.given_faults.size(), 3u);
  EXPECT_LE(cut.duration, o.duration);
}

TEST(InvariantChecker, FindsEachViolationAndNothingInAGoodHistory) {
  ClusterHistory h;
  h.lease_terms = {{"d", "a", 1, 0, 100}, {"d", "b", 2, 101, 200}, {"e", "b", 1, 50, 150}};
  h.accepted_requests = {{"d", "r", 1, 10}, {"d", "r", 2, 110}, {"e", "r", 1, 120}};
  h.job_starts = {{"m", 1}, {"n", 2}};
  h.topics = {parse_topic(
      "b", 1, R"({"versions":[{"number":1,"state":"live","schema":{"fields":[{"number":1,"name":"x"}]}},
      {"number":2,"state":"gone","schema":{"fields":[]}}],"declarations":[{"subscriber":"s","reads":[1]}]})")};
  using Kind = RegisterOperation::Kind;
  h.operations = {{Kind::kChange, "k", 0, 5, 1, 11, 0},
                  {Kind::kRead, "k", 3, 6, 0, 0, 0},
                  {Kind::kChange, "k", 6, 9, 2, 12, 11}};
  EXPECT_TRUE(check_invariants(h).empty());
  const auto rule = [&](auto change) {
    ClusterHistory bad = h;
    change(bad);
    const auto all = check_invariants(bad);
    return all.empty() ? std::string() : all.front().rule;
  };
  EXPECT_EQ(rule([](ClusterHistory& b) { b.lease_terms[1].from = 99; }), "one_holder");
  EXPECT_EQ(rule([](ClusterHistory& b) { b.lease_terms[1].epoch = 1; }), "epochs_grow");
  EXPECT_EQ(rule([](ClusterHistory& b) {
              b.accepted_requests.push_back({"d", "r", 1, 130});
            }),
            "acts_in_order");
  EXPECT_EQ(rule([](ClusterHistory& b) { b.job_starts.push_back({"m", 3}); }), "once");
  EXPECT_EQ(rule([](ClusterHistory& b) { b.topics[0].published[2] = {}; }), "compatible");
  EXPECT_EQ(rule([](ClusterHistory& b) {
              b.operations[2].id = 11, b.operations[2].version = 1, b.operations[2].expected_change = 0;
            }),
            "linearizable");
  EXPECT_EQ(rule([](ClusterHistory& b) {
              b.operations.push_back({Kind::kRead, "k", 10, 11, 1, 11, 0});
            }),
            "linearizable");
  EXPECT_EQ(rule([](ClusterHistory& b) { b.operations[2].expected_change = 77; }), "linearizable");
  EXPECT_EQ(rule([](ClusterHistory& b) {
              b.operations.push_back({Kind::kRead, "k", 1, 2, 1, 99, 0});
            }),
            "linearizable");
}

TEST(InvariantChecker, ReadsSpansFromTheLogsOfProcesses) {
  ClusterHistory h;
  add_lease_terms("a",
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
  ASSERT_EQ(h.lease_terms.size(), 2u);
  EXPECT_EQ(h.lease_terms[0].until, 700);
  EXPECT_EQ(h.lease_terms[1].until, 1800);
  EXPECT_EQ(h.lease_terms[1].epoch, 5u);
}

}  // namespace
}  // namespace firvalve::simulation
