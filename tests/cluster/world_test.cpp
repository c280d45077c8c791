// Runs the cluster in virtual time with random faults and verifies the history with the invariant checker.
// Injected bugs and hand-made histories verify that the checker detects each violation.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/injected_bug.h"
#include "bound.h"
#include "simulation/fleet_world.h"

namespace firvalve::simulation {
namespace {

ClusterWorldOptions faulty_options(uint64_t seed) {
  ClusterWorldOptions options;
  options.seed = seed;
  options.replicas = seed % 2 ? 3 : 5;
  options.gateways = 7 + static_cast<uint32_t>(seed % 5);
  options.have_disks = seed % 3 != 0;
  options.lost_share = (seed % 4) * 0.1;
  options.duplicated_share = 0.05;
  options.late_share = seed % 2 ? 0.02 : 0;
  options.faults_per_second = 0.5;
  if (seed_limit() < 20) options.duration = 6000;
  return options;
}

std::string describe_violations(const ClusterWorldOutcome& outcome) {
  std::string text;
  for (const InvariantViolation& violation : outcome.violations)
    text += violation.rule + ": " + violation.text + "\n";
  return text;
}

bool violates(const ClusterWorldOutcome& outcome, const std::string& rule) {
  return std::any_of(outcome.violations.begin(), outcome.violations.end(),
                     [&](const InvariantViolation& violation) { return violation.rule == rule; });
}

TEST(FleetWorld, WithoutFaultsAllLeasesAreHeldWithoutGaps) {
  ClusterWorldOptions options;
  const ClusterWorldOutcome outcome = play(options);
  EXPECT_EQ(describe_violations(outcome), "");
  EXPECT_EQ(outcome.acquisitions, options.leases + options.jobs);
  EXPECT_EQ(outcome.unheld_leases, 0u);
  EXPECT_EQ(outcome.finished_jobs, options.jobs);
  EXPECT_GT(outcome.accepted_requests, 1000u);
  EXPECT_EQ(outcome.rejected_requests, 0u);
  EXPECT_GT(outcome.history.operations.size(), 100u);
}

TEST(FleetWorld, TheSameSeedReproducesTheSameHistory) {
  ClusterWorldOptions options = faulty_options(3), other = faulty_options(7);
  options.duration = other.duration = 6000;
  EXPECT_EQ(play(options).hash, play(options).hash);
  EXPECT_NE(play(options).hash, play(other).hash);
}

TEST(FleetWorld, RandomFaultsViolateNoInvariant) {
  uint64_t taken = 0, refused = 0, agreed_changes = 0, refused_changes = 0;
  const uint64_t seeds = seed_limit();
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const ClusterWorldOutcome outcome = play(faulty_options(seed));
    EXPECT_EQ(describe_violations(outcome), "") << "seed " << seed;
    EXPECT_GT(outcome.acquisitions, 0u) << "seed " << seed;
    taken += outcome.acquisitions;
    refused += outcome.rejected_requests;
    agreed_changes += outcome.history.topics.size();
    refused_changes += outcome.rejected_changes;
  }
  if (seeds < 20) return;                 // the minimum counts below hold for full-length runs only
  EXPECT_GT(agreed_changes, 10 * seeds);  // concurrent versions and declarations were agreed
  EXPECT_GT(refused_changes, 5 * seeds);  // and incompatible ones were rejected
  EXPECT_GT(taken, 10 * seeds);           // faults moved leases between gateways
  EXPECT_GT(refused, 0u);                 // requests with outdated epochs arrived and were rejected
}

TEST(FleetWorld, ASuccessorTakesOverWithinALeaseAndOneSecondAfterAHolderIsKilled) {
  ClusterWorldOptions options;
  options.gateways = 6;
  options.leases = 12;
  options.jobs = options.readers = 0;
  for (int i = 0; i < 3; ++i)
    options.given_faults.push_back(
        {ClusterFault::Kind::kKill, 5000.0 + 6000 * i, -1, 3 + static_cast<uint32_t>(i), 0, false});
  const ClusterWorldOutcome outcome = play(options);
  EXPECT_EQ(describe_violations(outcome), "");
  EXPECT_EQ(outcome.unheld_leases, 0u);
  ASSERT_GE(outcome.gaps.size(), 3u);  // the killed gateways held some of the 12 leases
  for (const Ms gap : outcome.gaps) EXPECT_LT(gap, options.lease_duration + 1000);
}

TEST(FleetWorld, LeasesExpireWithoutAQuorumAndAreReacquiredWithIt) {
  ClusterWorldOptions options;
  options.given_faults.push_back({ClusterFault::Kind::kKill, 8000, 6000, 0, 0, false});
  options.given_faults.push_back({ClusterFault::Kind::kKill, 8000, 6000, 1, 0, false});
  const ClusterWorldOutcome outcome = play(options);
  EXPECT_EQ(describe_violations(outcome), "");
  EXPECT_EQ(outcome.unheld_leases, 0u);
  for (const LeaseTerm& span : outcome.history.lease_terms)
    EXPECT_FALSE(span.from < 8000 && span.until > 8000 + options.lease_duration && span.until <= 14000)
        << span.lease;
}

TEST(FleetWorld, AThousandGatewaysSurviveFrequentFaults) {
  ClusterWorldOptions options;
  options.gateways = seed_limit() < 20 ? 128 : 1024;
  options.replicas = 5;
  options.leases = 10;
  options.jobs = 4;
  options.duration = 4000;
  options.faults_per_second = 2;
  const ClusterWorldOutcome outcome = play(options);
  EXPECT_EQ(describe_violations(outcome), "");
  EXPECT_GE(outcome.acquisitions, 10u);
}

// The invariant checker detects each bug injected into the real state machines on at least one of a few
// seeds.
class InjectedBugs : public testing::TestWithParam<std::pair<InjectedBug, const char*>> {};

TEST_P(InjectedBugs, AreDetected) {
  const auto [bug, rule] = GetParam();
  bool is_detected = false;
  for (uint64_t seed = 1; seed <= 2 * seed_limit() && !is_detected; ++seed) {
    injected_bug = bug;
    const ClusterWorldOutcome outcome = play(faulty_options(seed));
    is_detected = violates(outcome, rule);
    injected_bug = InjectedBug::kNone;
  }
  EXPECT_TRUE(is_detected);
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

// The protocol does not tolerate a quorum of replicas that loses its state at once. From then on nothing may
// be agreed: a replica that voted without its earlier promises could contradict earlier results
// (kForgetfulAcceptor).
TEST(FleetWorld, ReplicasThatLostTheirStateTogetherAgreeOnNothing) {
  ClusterWorldOptions options;
  options.have_disks = false;
  options.duration = 12000;
  for (uint32_t k = 0; k < 2; ++k)
    options.given_faults.push_back({ClusterFault::Kind::kKill, 5000.0 + k, 0, k, 0, true});
  bool is_detected = false;
  for (options.seed = 1; options.seed <= 5; ++options.seed) {
    const ClusterWorldOutcome outcome = play(options);
    EXPECT_EQ(describe_violations(outcome), "");
    for (const RegisterOperation& operation : outcome.history.operations) EXPECT_LT(operation.ended, 6500);
    injected_bug = InjectedBug::kForgetfulAcceptor;
    is_detected |= violates(play(options), "linearizable");
    injected_bug = InjectedBug::kNone;
  }
  EXPECT_TRUE(is_detected);
}

TEST(FleetWorld, AFailingHistoryIsMinimized) {
  injected_bug = InjectedBug::kSkipTakeoverWait;
  ClusterWorldOptions options = faulty_options(1);
  options.duration = 6000;
  const ClusterWorldOptions minimized = minimise(options, "one_holder");
  const ClusterWorldOutcome outcome = play(minimized);
  injected_bug = InjectedBug::kNone;
  EXPECT_TRUE(violates(outcome, "one_holder"));
  EXPECT_LT(minimized.given_faults.size(), 3u);
  EXPECT_LE(minimized.duration, options.duration);
}

TEST(InvariantChecker, DetectsEachViolationAndAcceptsAValidHistory) {
  ClusterHistory history;
  history.lease_terms = {{"d", "a", 1, 0, 100}, {"d", "b", 2, 101, 200}, {"e", "b", 1, 50, 150}};
  history.accepted_requests = {{"d", "r", 1, 10}, {"d", "r", 2, 110}, {"e", "r", 1, 120}};
  history.job_starts = {{"m", 1}, {"n", 2}};
  history.topics = {parse_topic(
      "b", 1, R"({"versions":[{"number":1,"state":"live","schema":{"fields":[{"number":1,"name":"x"}]}},
      {"number":2,"state":"gone","schema":{"fields":[]}}],"declarations":[{"subscriber":"s","reads":[1]}]})")};
  using Kind = RegisterOperation::Kind;
  history.operations = {{Kind::kChange, "k", 0, 5, 1, 11, 0},
                        {Kind::kRead, "k", 3, 6, 0, 0, 0},
                        {Kind::kChange, "k", 6, 9, 2, 12, 11}};
  EXPECT_TRUE(check_invariants(history).empty());
  const auto first_violated_rule = [&](auto change) {
    ClusterHistory bad = history;
    change(bad);
    const auto violations = check_invariants(bad);
    return violations.empty() ? std::string() : violations.front().rule;
  };
  EXPECT_EQ(first_violated_rule([](ClusterHistory& bad) { bad.lease_terms[1].from = 99; }), "one_holder");
  EXPECT_EQ(first_violated_rule([](ClusterHistory& bad) { bad.lease_terms[1].epoch = 1; }), "epochs_grow");
  EXPECT_EQ(first_violated_rule([](ClusterHistory& bad) {
              bad.accepted_requests.push_back({"d", "r", 1, 130});
            }),
            "acts_in_order");
  EXPECT_EQ(first_violated_rule([](ClusterHistory& bad) { bad.job_starts.push_back({"m", 3}); }), "once");
  EXPECT_EQ(first_violated_rule([](ClusterHistory& bad) { bad.topics[0].published[2] = {}; }), "compatible");
  EXPECT_EQ(first_violated_rule([](ClusterHistory& bad) {
              bad.operations[2].id = 11, bad.operations[2].version = 1, bad.operations[2].expected_change = 0;
            }),
            "linearizable");
  EXPECT_EQ(first_violated_rule([](ClusterHistory& bad) {
              bad.operations.push_back({Kind::kRead, "k", 10, 11, 1, 11, 0});
            }),
            "linearizable");
  EXPECT_EQ(first_violated_rule([](ClusterHistory& bad) { bad.operations[2].expected_change = 77; }),
            "linearizable");
  EXPECT_EQ(first_violated_rule([](ClusterHistory& bad) {
              bad.operations.push_back({Kind::kRead, "k", 1, 2, 1, 99, 0});
            }),
            "linearizable");
}

TEST(InvariantChecker, ReadsLeaseSpansFromProcessLogs) {
  ClusterHistory history;
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
                  history);
  ASSERT_EQ(history.lease_terms.size(), 2u);
  EXPECT_EQ(history.lease_terms[0].until, 700);
  EXPECT_EQ(history.lease_terms[1].until, 1800);
  EXPECT_EQ(history.lease_terms[1].epoch, 5u);
}

}  // namespace
}  // namespace firvalve::simulation
