// A burst, or a loss of engines, pushes a fleet of many gateways down; once the cause has gone the share of
// commands served within their target has to come back within a stated time, the same for every size.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "simulation/world.h"

namespace firvalve::simulation {
namespace {

constexpr size_t kBegins = 6, kEnds = 11;  // s: the cause
constexpr size_t kRecoversWithin = 20;     // s after it has gone
constexpr Ms kLength = 40000;

WorldOptions fleet_in_trouble(int gateways, Trouble::Kind kind) {
  WorldOptions options = crowded_fleet(gateways);
  options.length = kLength;
  const auto half = static_cast<uint32_t>(options.engines / 2);
  options.troubles.push_back({kind, kBegins * 1000.0, (kEnds - kBegins) * 1000.0, 0, half, 2});
  return options;
}

uint64_t sum(const WorldOutcome& outcome, uint64_t WorldSecond::*part) {
  return std::accumulate(outcome.timeline.begin(), outcome.timeline.end(), uint64_t{0},
                         [&](uint64_t total, const WorldSecond& second) { return total + second.*part; });
}

void expect_recovery(const WorldOutcome& outcome) {
  EXPECT_TRUE(outcome.verdict.good()) << outcome.verdict.text();
  const double calm = in_target_share(outcome, 1, kBegins);
  EXPECT_GT(calm, 0.9);
  EXPECT_LT(in_target_share(outcome, kBegins, kEnds), 0.8 * calm);  // the way down
  const auto seconds = seconds_to_recover(outcome, kBegins, kEnds);
  ASSERT_TRUE(seconds.has_value()) << "not within the run; at its end "
                                   << in_target_share(outcome, kLength / 1000 - 8, kLength / 1000 - 3);
  EXPECT_LE(*seconds, kRecoversWithin);
}

class Collapse : public testing::TestWithParam<int> {};

TEST_P(Collapse, AfterABurstServiceComesBack) {
  expect_recovery(play(fleet_in_trouble(GetParam(), Trouble::Kind::kBurst)));
}

TEST_P(Collapse, AfterALossOfEnginesServiceComesBack) {
  expect_recovery(play(fleet_in_trouble(GetParam(), Trouble::Kind::kDies)));
}

INSTANTIATE_TEST_SUITE_P(Gateways, Collapse, testing::Values(30), testing::PrintToStringParamName());
INSTANTIATE_TEST_SUITE_P(ManyGateways, Collapse, testing::Values(100), testing::PrintToStringParamName());

TEST(ManyGateways, AfterABurstServiceComesBack) {
  expect_recovery(play(fleet_in_trouble(300, Trouble::Kind::kBurst)));
}

TEST(CrowdedFleet, WorkAbandonedAtTimeoutsKeepsEnginesFull) {
  WorldOptions options = fleet_in_trouble(30, Trouble::Kind::kBurst);
  const WorldOutcome cancelled = play(options);
  options.cancels_at_timeout = false;
  const WorldOutcome abandoned = play(options);
  EXPECT_GT(sum(abandoned, &WorldSecond::full), 3 * sum(cancelled, &WorldSecond::full));
  EXPECT_LT(in_target_share(abandoned, kEnds, kEnds + 10),
            in_target_share(cancelled, kEnds, kEnds + 10) - 0.1);
}

TEST(CrowdedFleet, ACalmDayIsServedAndItsSeedGivesTheSameHistory) {
  WorldOptions options = crowded_fleet(30);
  options.length = 15000;
  const WorldOutcome outcome = play(options);
  EXPECT_TRUE(outcome.verdict.good()) << outcome.verdict.text();
  EXPECT_GT(in_target_share(outcome, 0, 12), 0.95);
  EXPECT_EQ(outcome.hash, play(options).hash);
  options.seed = 2;
  EXPECT_NE(outcome.hash, play(options).hash);
}

TEST(CrowdedFleet, TheLoadOfAnEngineIsTheSameAtEverySize) {
  for (const int gateways : {30, 100, 300, 1100}) {
    const WorldOptions options = crowded_fleet(gateways);
    EXPECT_NEAR(options.rate / options.engines, 15, 0.3) << gateways;
  }
}

TEST(CrowdedFleet, IdleConnectionsAreUsedAgain) {
  WorldOptions options = crowded_fleet(30);
  options.length = 20000;
  const WorldOutcome outcome = play(options);
  EXPECT_LT(sum(outcome, &WorldSecond::connects), outcome.attempts / 3);
  options.engine.connections.idle_close = 100;  // kept for 50 ms
  const WorldOutcome closing = play(options);
  EXPECT_GT(sum(closing, &WorldSecond::connects), closing.attempts / 2);
  EXPECT_LT(closing.timeline.back().connections, outcome.timeline.back().connections);
}

TEST(CrowdedFleet, ASmallConnectionTableRefuses) {
  WorldOptions options = crowded_fleet(30);
  options.length = 10000;
  options.engine.connections.table_size = 10;
  const WorldOutcome outcome = play(options);
  EXPECT_GT(sum(outcome, &WorldSecond::connects_refused), 0u);
  for (const WorldSecond& second : outcome.timeline) EXPECT_LE(second.connections, 10u * 8u);
}

TEST(CrowdedFleet, SilentEnginesTimeConnectsOutAndClientsAskAgainSoOftenAndNoMore) {
  WorldOptions options = crowded_fleet(30);
  options.length = 8000;
  options.troubles.push_back({Trouble::Kind::kSilent, 1000, 7000, 0, 8});
  const WorldOutcome outcome = play(options);
  EXPECT_GT(sum(outcome, &WorldSecond::connects_timed_out), 0u);
  const uint64_t again = sum(outcome, &WorldSecond::asked_again);
  EXPECT_GT(again, 100u);
  EXPECT_LE(again, 2 * sum(outcome, &WorldSecond::asked));
  EXPECT_EQ(outcome.commands, again + sum(outcome, &WorldSecond::asked));
  options.client_retries.most = 0;
  EXPECT_EQ(sum(play(options), &WorldSecond::asked_again), 0u);
}

}  // namespace
}  // namespace firvalve::simulation
