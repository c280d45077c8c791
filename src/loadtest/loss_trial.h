// One loss in a fleet: what is taken away, how long until the fleet serves as before, what that costs whoever
// is hit most, and what the return of the lost part costs.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "loadtest/loss_fleet.h"

namespace firvalve::loadtest {

enum class LossKind { kHolder, kKeeper, kRack, kZone, kRegionPair, kSplit };
const char* name_of(LossKind kind);

// Throws ScaleError where the fleet is too small to lose it and go on.
void check_loss(LossKind kind, const TopologyOptions& topology);

struct LossTimes {
  Ms rest = 2000;      // watched before the loss
  Ms cut = 5000;       // that regions stay cut apart at least
  Ms after = 1000;     // watched after the recovery, for the peak
  Ms back = 6000;      // watched after the return, its last part as the new rest
  Ms new_rest = 2000;  // that part
  Ms recovery_longest = 30000;
};

struct LossResult {
  LossKind kind = LossKind::kHolder;
  size_t members_lost = 0;
  size_t leases_lost = 0;  // that were held by who cannot serve any more
  TrafficRate rest, peak;  // at the keeper that has most of it
  Ms recovery = 0;         // from the loss until all who are left see every lease held by one who is left
  Ms return_recovery = 0;  // from the return until all see every lease held
  Ms return_rest = 0;      // and until the keepers' messages are what they stay at
  double return_messages = 0, return_bytes = 0;  // at all keepers until then, past what they stay at
  TrafficRate return_peak;
  // Of a split: keepers on the side with the most of them, and gateways on the other side that still acted.
  size_t majority_keepers = 0, minority_holders = 0;
};

// Tells of the progress some seconds apart. Throws ScaleError where the fleet does not serve as before in
// time.
LossResult try_loss(LossFleet& fleet, LossKind kind, const LossTimes& times, const Progress& progress);

}  // namespace firvalve::loadtest
