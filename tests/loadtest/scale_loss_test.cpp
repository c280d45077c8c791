// Tests the loss part of the scale run at a small size: service continues and lease rules hold. No times.
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>

#include "loadtest/client_loss.h"
#include "loadtest/loss_trial.h"

namespace firvalve::loadtest {
namespace {

const Progress kQuiet = [](const std::string&) {};
constexpr TopologyOptions kSmall{.gateways = 12, .regions = 4, .zones = 4, .keepers = 5};
constexpr LossTimes kTimes{.rest = 1200, .cut = 4000, .after = 300, .back = 1500, .new_rest = 500};

class LossTest : public testing::Test {
 protected:
  LossTest() : fleet_(std::make_unique<LossFleet>(LossFleetOptions{kSmall, 6, 1000, 1}, kQuiet)) {}
  // Each lease has one running holder, every gateway knows the holder, and no invariant was violated.
  void expect_whole() {
    EXPECT_TRUE(fleet_->is_served(fleet_->gateways_up(), fleet_->holders_up(), 0));
    EXPECT_EQ(fleet_->gateways_up().size(), 12u);
    for (const simulation::InvariantViolation& violation : fleet_->violations())
      ADD_FAILURE() << violation.rule << ": " << violation.text;
  }
  LossResult lose(LossKind kind) { return try_loss(*fleet_, kind, kTimes, kQuiet); }

  std::unique_ptr<LossFleet> fleet_;
};

TEST_F(LossTest, HolderKilledIsFollowedByOneThatIsLeft) {
  const LossResult result = lose(LossKind::kHolder);
  EXPECT_EQ(result.members_lost, 1u);
  EXPECT_GE(result.leases_lost, 1u);
  expect_whole();
}

TEST_F(LossTest, KeeperKilledTakesPartAgain) {
  lose(LossKind::kKeeper);
  EXPECT_TRUE(fleet_->keeper_ready(0));
  expect_whole();
}

TEST_F(LossTest, ZoneKilledWithItsKeeperIsFollowed) {
  EXPECT_GE(lose(LossKind::kZone).members_lost, 4u);  // three gateways and one or two replicas
  expect_whole();
}

TEST_F(LossTest, SideWithoutAMajorityOfKeepersHoldsNothing) {
  const LossResult result = lose(LossKind::kSplit);
  EXPECT_EQ(result.majority_keepers, 3u);
  EXPECT_EQ(result.minority_holders, 0u);
  expect_whole();
}

TEST_F(LossTest, RegionsCutFromEachOtherAloneBothGoOn) {
  lose(LossKind::kRegionPair);
  expect_whole();
}

TEST_F(LossTest, NothingIsLeftRunning) {
  const std::vector<pid_t> processes = fleet_->process_ids();
  EXPECT_EQ(processes.size(), 5u + 4u + 4u);
  fleet_.reset();
  for (const pid_t process : processes) EXPECT_NE(::kill(process, 0), 0) << process;
}

TEST_F(LossTest, PartOfAProcessCannotBeLost) { EXPECT_THROW(fleet_->kill({fleet_->size() - 1}), ScaleError); }

TEST_F(LossTest, ProcessThatDiesIsTold) {
  ::kill(fleet_->process_ids().back(), SIGKILL);
  EXPECT_THROW(fleet_->collect_history(), ScaleError);
}

TEST_F(LossTest, AddressInUseIsTold) {
  EXPECT_THROW(LossFleet(LossFleetOptions{kSmall, 6, 1000, 1}, kQuiet), ScaleError);
}

TEST(Topology, SpreadsGatewaysOverZonesAndZonesOverRegions) {
  const Topology topology({.gateways = 1100, .regions = 6, .zones = 20, .keepers = 5});
  for (size_t zone = 0; zone < 20; ++zone) EXPECT_EQ(topology.gateways_in_zone(zone).size(), 55u);
  EXPECT_EQ(topology.gateways_in_rack(0, 0).size(), 6u);
  for (size_t region = 0; region < 5; ++region) EXPECT_EQ(topology.keepers_in_region(region).size(), 1u);
  EXPECT_EQ(topology.majority_side().size(), 3u);
}

// The one-line error of the run.
std::string error_of(ScaleOptions options) {
  options.parts = {"loss"};
  try {
    measure_loss(options, kQuiet);
  } catch (const ScaleError& error) {
    return error.what();
  }
  return {};
}

TEST(ScaleLossInput, IsRefusedInOneLine) {
  ScaleOptions more_zones;
  more_zones.gateways = {8};
  EXPECT_EQ(error_of(more_zones), "20 zones are more than 8 gateways");
  ScaleOptions more_regions;
  more_regions.gateways = {32};
  more_regions.regions = 21;
  EXPECT_EQ(error_of(more_regions), "21 regions are more than 20 zones");
  ScaleOptions unknown;
  unknown.losses = {"moon"};
  EXPECT_EQ(error_of(unknown), "unknown loss \"moon\"");
  ScaleOptions only_zone;
  only_zone.gateways = {8};
  only_zone.regions = only_zone.zones = 1;
  only_zone.losses = {"zone"};
  EXPECT_EQ(error_of(only_zone), "the zone lost is the only one");
  only_zone.losses = {"region"};
  EXPECT_EQ(error_of(only_zone), "one region cannot be cut apart");
  ScaleOptions no_lease;
  no_lease.gateways = {24};
  no_lease.leases = 0;
  EXPECT_EQ(error_of(no_lease), "no lease that could be lost");
}

TEST(ClientLoss, AllCallsEndAtTheGatewaysThatAreLeft) {
  const ClientLossResult result =
      try_client_loss({.clients = 6, .rate = 5, .rest = 1000, .down = 1500, .back = 500, .seed = 1}, kQuiet);
  EXPECT_GE(result.answered_part, 0.9);
}

}  // namespace
}  // namespace firvalve::loadtest
