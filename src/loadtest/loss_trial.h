// Runs one loss in a cluster and measures the recovery time, the load on the busiest acceptor, and the cost
// of the return of the lost part.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "loadtest/loss_fleet.h"

namespace firvalve::loadtest {

// What is lost. kKeeper is an acceptor; kRegionPair partitions two regions from each other; kSplit partitions
// the cluster into a side with a majority of the acceptors and a side without.
enum class LossKind { kHolder, kKeeper, kRack, kZone, kRegionPair, kSplit };
const char* name_of(LossKind kind);

// Throws ScaleError if the cluster is too small to keep serving after this loss.
void check_loss(LossKind kind, const TopologyOptions& topology);

// Durations of the phases of a trial.
struct LossTimes {
  Ms rest = 2000;      // steady state observed before the loss
  Ms cut = 5000;       // minimum duration of a partition
  Ms after = 1000;     // observed after the recovery, for the peak
  Ms back = 6000;      // observed after the return; its last part gives the new steady state
  Ms new_rest = 2000;  // length of that last part
  Ms recovery_longest = 30000;
};

struct LossResult {
  LossKind kind = LossKind::kHolder;
  size_t members_lost = 0;
  size_t leases_lost = 0;  // held before the loss by members that can no longer serve
  TrafficRate rest, peak;  // at the busiest acceptor: before the loss, and from the loss to the return
  Ms recovery = 0;         // from the loss until all remaining gateways see each lease held by one of them
  Ms return_recovery = 0;  // from the return until all gateways see every lease held
  Ms return_rest = 0;      // from the return until the acceptors' message rate is steady
  double return_messages = 0, return_bytes = 0;  // at all acceptors until then, above steady state
  TrafficRate return_peak;
  // Only for kSplit: acceptors on the majority side, and gateways on the other side that still held a lease.
  size_t majority_keepers = 0, minority_holders = 0;
};

// Runs the trial and reports progress every few seconds. Throws ScaleError if the cluster does not recover
// within `recovery_longest`.
LossResult try_loss(LossFleet& fleet, LossKind kind, const LossTimes& times, const Progress& progress);

}  // namespace firvalve::loadtest
