// A gateway that ends with its clients: how many of them come to the gateways that are left, and how fast.
#pragma once

#include <cstdint>

#include "base/units.h"
#include "loadtest/parts.h"

namespace firvalve::loadtest {

struct ClientLossOptions {
  int clients = 20;
  double rate = 0.23;  // calls a second of one client
  Ms rest = 6000;      // until connections at rest are as they stay
  Ms down = 10000, back = 8000;
  uint64_t seed = 1;
};

struct ClientLossResult {
  double rest_connects = 0;  // a second at the two that are left, before the loss
  double peak_connects = 0;  // in the busiest second after it, at both
  double return_peak = 0;    // connects in its busiest second at the one that comes back
  double answered_part = 0;  // of the calls, from the loss on
};

// Three scripted gateways, one of which ends and comes back; all clients know all three.
ClientLossResult try_client_loss(const ClientLossOptions& options, const Progress& progress);

}  // namespace firvalve::loadtest
