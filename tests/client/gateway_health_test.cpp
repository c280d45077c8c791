// Tests the classification of connection losses and the schedule of probes.
#include "client/gateway_health.h"

#include <gtest/gtest.h>

namespace firvalve::client {
namespace {

constexpr TimePoint at(Ms ms) { return time_point_of(ms); }

ConnectionLoss loss(LossCause cause, int open_calls = 0) {
  ConnectionLoss loss;
  loss.cause = cause;
  loss.open_calls = open_calls;
  return loss;
}

TEST(Outage, SingleResetIsNoOutage) { EXPECT_FALSE(is_outage(loss(LossCause::kReset, 1), {})); }

TEST(Outage, ResetWithManyCallsOrAnotherLossIsAnOutage) {
  EXPECT_TRUE(is_outage(loss(LossCause::kReset, 3), {}));
  ConnectionLoss one = loss(LossCause::kReset, 1);
  one.has_other_loss_at_gateway = true;
  EXPECT_TRUE(is_outage(one, {}));
  one.has_other_loss_at_gateway = false;
  one.has_loss_at_other_gateway = true;
  EXPECT_TRUE(is_outage(one, {}));
}

TEST(Outage, CloseWithOpenCallsOrBeforeTheIdleTimeIsAnOutage) {
  EXPECT_TRUE(is_outage(loss(LossCause::kClosed, 1), {}));
  ConnectionLoss one = loss(LossCause::kClosed);
  one.idle = Duration(100);
  EXPECT_TRUE(is_outage(one, {}));
  one.idle = Duration(4000);  // an idle close
  EXPECT_FALSE(is_outage(one, {}));
  one.idle = Duration(100);
  one.other_connections = 1;  // it evicted one connection
  EXPECT_FALSE(is_outage(one, {}));
}

TEST(Outage, RefusedConnectIsNoOutageWhileAnotherConnectionIsUp) {
  EXPECT_TRUE(is_outage(loss(LossCause::kRefused), {}));
  ConnectionLoss one = loss(LossCause::kRefused);
  one.other_connections = 1;
  EXPECT_FALSE(is_outage(one, {}));
}

TEST(GatewayHealth, ProbeSpreadDoublesUpToItsLimitAndIsResetAfterRecovery) {
  OutageOptions options;
  options.spread = Duration(1000);
  options.max_spread = Duration(3000);
  GatewayHealth health(options);
  health.eject(at(0), 0.5);
  EXPECT_EQ(health.probe_at(), at(500));
  health.start_probe();
  health.eject(at(500), 0.5);
  EXPECT_EQ(health.probe_at(), at(1500));
  health.start_probe();
  health.eject(at(1500), 0.5);
  EXPECT_EQ(health.probe_at(), at(3000));
  health.start_probe();
  health.reinstate(at(3000));
  health.eject(at(3100), 0.5);  // soon after the reinstatement: it had not recovered
  EXPECT_EQ(health.probe_at(), at(4600));
  health.reinstate(at(5000));
  health.eject(at(20000), 0.5);
  EXPECT_EQ(health.probe_at(), at(20500));
}

}  // namespace
}  // namespace firvalve::client
