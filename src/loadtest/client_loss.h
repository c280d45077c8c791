// Measures the reconnect load when a gateway is lost: how many connections its clients open at the surviving
// gateways, and how fast.
#pragma once

#include <cstdint>

#include "base/units.h"
#include "loadtest/parts.h"

namespace firvalve::loadtest {

// Times are in ms.
struct ClientLossOptions {
  int clients = 20;
  double rate = 0.23;            // calls per second and client
  Ms rest = 6000;                // time before the loss, for the number of connections to become steady
  Ms down = 10000, back = 8000;  // outage of the lost gateway; observation after its restart
  uint64_t seed = 1;
};

// Connection counts are new connections accepted by gateways.
struct ClientLossResult {
  double rest_connects = 0;  // per second before the loss, at both surviving gateways
  double peak_connects = 0;  // in the busiest second of the outage, at both surviving gateways
  double return_peak = 0;    // in the busiest second after the restart, at the restarted gateway
  double answered_part = 0;  // fraction of the calls since the loss that were answered
};

// Runs clients against three scripted gateways, kills one and restarts it. Every client knows all three.
ClientLossResult try_client_loss(const ClientLossOptions& options, const Progress& progress);

}  // namespace firvalve::loadtest
