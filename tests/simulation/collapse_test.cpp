// Tests recovery from metastable failure: a burst or a loss of engines overloads a cluster with many
// gateways. After its end the share of commands served within their target has to recover within a fixed
// time, which is the same for every cluster size.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "simulation/world.h"

namespace firvalve::simulation {
namespace {

constexpr size_t kFaultBegins = 6, kFaultEnds = 11;  // s
constexpr size_t kMaxRecoveryTime = 20;              // s after the end of the fault
constexpr Ms kLength = 40000;

WorldOptions cluster_with_fault(int gateways, WorldFault::Kind kind) {
  WorldOptions options = crowded_cluster(gateways);
  options.duration = kLength;
  const auto half = static_cast<uint32_t>(options.engines / 2);
  options.faults.push_back({kind, kFaultBegins * 1000.0, (kFaultEnds - kFaultBegins) * 1000.0, 0, half, 2});
  return options;
}

uint64_t sum(const WorldOutcome& outcome, uint64_t WorldSecond::*part) {
  return std::accumulate(outcome.timeline.begin(), outcome.timeline.end(), uint64_t{0},
                         [&](uint64_t total, const WorldSecond& second) { return total + second.*part; });
}

void expect_recovery(const WorldOutcome& outcome) {
  EXPECT_TRUE(outcome.verdict.good()) << outcome.verdict.text();
  const double baseline = in_target_share(outcome, 1, kFaultBegins);
  EXPECT_GT(baseline, 0.9);
  EXPECT_LT(in_target_share(outcome, kFaultBegins, kFaultEnds), 0.8 * baseline);  // the fault has an effect
  const auto seconds = seconds_to_recover(outcome, kFaultBegins, kFaultEnds);
  ASSERT_TRUE(seconds.has_value()) << "not within the run; at its end "
                                   << in_target_share(outcome, kLength / 1000 - 8, kLength / 1000 - 3);
  EXPECT_LE(*seconds, kMaxRecoveryTime);
}

class Collapse : public testing::TestWithParam<int> {};

TEST_P(Collapse, AfterABurstServiceComesBack) {
  expect_recovery(play(cluster_with_fault(GetParam(), WorldFault::Kind::kBurst)));
}

TEST_P(Collapse, RecoversAfterALossOfEngines) {
  expect_recovery(play(cluster_with_fault(GetParam(), WorldFault::Kind::kCrash)));
}

INSTANTIATE_TEST_SUITE_P(Gateways, Collapse, testing::Values(30), testing::PrintToStringParamName());
INSTANTIATE_TEST_SUITE_P(ManyGateways, Collapse, testing::Values(100), testing::PrintToStringParamName());

TEST(ManyGateways, AfterABurstServiceComesBack) {
  expect_recovery(play(cluster_with_fault(300, WorldFault::Kind::kBurst)));
}

TEST(CrowdedCluster, AttemptsAbandonedAtTimeoutsKeepEngineQueuesFull) {
  WorldOptions options = cluster_with_fault(30, WorldFault::Kind::kBurst);
  const WorldOutcome cancelled = play(options);
  options.cancels_at_timeout = false;
  const WorldOutcome abandoned = play(options);
  EXPECT_GT(sum(abandoned, &WorldSecond::full), 3 * sum(cancelled, &WorldSecond::full));
  EXPECT_LT(in_target_share(abandoned, kFaultEnds, kFaultEnds + 10),
            in_target_share(cancelled, kFaultEnds, kFaultEnds + 10) - 0.1);
}

TEST(CrowdedCluster, ServesNormalLoadAndRepeatsItsHistoryForASeed) {
  WorldOptions options = crowded_cluster(30);
  options.duration = 15000;
  const WorldOutcome outcome = play(options);
  EXPECT_TRUE(outcome.verdict.good()) << outcome.verdict.text();
  EXPECT_GT(in_target_share(outcome, 0, 12), 0.95);
  EXPECT_EQ(outcome.hash, play(options).hash);
  options.seed = 2;
  EXPECT_NE(outcome.hash, play(options).hash);
}

TEST(CrowdedCluster, LoadPerEngineIsTheSameAtEverySize) {
  for (const int gateways : {30, 100, 300, 1100}) {
    const WorldOptions options = crowded_cluster(gateways);
    EXPECT_NEAR(options.rate / options.engines, 15, 0.3) << gateways;
  }
}

TEST(CrowdedCluster, ReusesIdleConnections) {
  WorldOptions options = crowded_cluster(30);
  options.duration = 20000;
  const WorldOutcome outcome = play(options);
  EXPECT_LT(sum(outcome, &WorldSecond::connects), outcome.attempts / 3);
  options.engine.connections.idle_close = 100;  // gateways close after 50 ms
  const WorldOutcome closing = play(options);
  EXPECT_GT(sum(closing, &WorldSecond::connects), closing.attempts / 2);
  EXPECT_LT(closing.timeline.back().connections, outcome.timeline.back().connections);
}

TEST(CrowdedCluster, FullConnectionTableRefusesConnects) {
  WorldOptions options = crowded_cluster(30);
  options.duration = 10000;
  options.engine.connections.table_size = 10;
  const WorldOutcome outcome = play(options);
  EXPECT_GT(sum(outcome, &WorldSecond::connects_refused), 0u);
  for (const WorldSecond& second : outcome.timeline) EXPECT_LE(second.connections, 10u * 8u);
}

TEST(CrowdedCluster, ConnectsToSilentEnginesTimeOutAndClientRetriesAreBounded) {
  WorldOptions options = crowded_cluster(30);
  options.duration = 8000;
  options.faults.push_back({WorldFault::Kind::kSilent, 1000, 7000, 0, 8});
  const WorldOutcome outcome = play(options);
  EXPECT_GT(sum(outcome, &WorldSecond::connects_timed_out), 0u);
  const uint64_t retried = sum(outcome, &WorldSecond::client_retries);
  EXPECT_GT(retried, 100u);
  EXPECT_LE(retried, 2 * sum(outcome, &WorldSecond::submitted));
  EXPECT_EQ(outcome.commands, retried + sum(outcome, &WorldSecond::submitted));
  options.client_retries.max_retries = 0;
  EXPECT_EQ(sum(play(options), &WorldSecond::client_retries), 0u);
}

}  // namespace
}  // namespace firvalve::simulation
