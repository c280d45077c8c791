// A fleet in virtual time: many gateways' real machines (fleet/node.h) before a model of the network between
// them, of their clocks, disks, stalls and ends. One thread, no sockets, no clock; the same options give the
// same history. Engines are a number of runs that begin and end.
//
// Modelled: messages lost, repeated, late, in another order; pairs of gateways cut off, one way or both;
// processes that stand still and go on, that die and come back with or without what they had on disk; clocks
// that run at different rates from different starts; disks that refuse to write. Not modelled: the price of
// CPU, bandwidth.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulation/invariant_checker.h"

namespace firvalve::simulation {

struct FleetFault {
  enum class Kind : uint8_t { kStall, kKill, kCut, kCutOneWay, kDisk };
  Kind kind = Kind::kStall;
  Ms at = 0, lasts = 0;          // of kKill: until it is started again; 0: at once; below 0: never
  uint32_t node = 0, other = 0;  // of cuts: between these; other == node: from everybody
  bool forgets = false;          // kKill: what it had on disk is gone
};

struct FleetOptions {
  uint64_t seed = 1;
  uint32_t keepers = 3, gateways = 8;  // the keepers are the first of the gateways
  uint32_t duties = 4;                 // that every gateway is willing to hold
  uint32_t merges = 2;                 // each asked of three gateways, at drawn moments
  Ms span = 30000, lease = 1000;
  Ms delay_least = 0.2, delay_most = 2;
  double late = 0;  // part of messages that take up to two leases
  double lost = 0, repeated = 0;
  double drift = 0.009;   // between the fastest and the slowest clock
  bool folders = true;    // keepers have disks
  double faults = 0;      // a second of span, drawn; 0: those given alone
  bool forgetful = true;  // among the drawn faults are kills of keepers with their disks, one at a time
  std::vector<FleetFault> given;
  uint32_t publishers = 2;  // gateways at which versions of one bulletin are proposed and declared against
  uint32_t readers = 2;     // gateways that read and change one fact of the record again and again
};

// What was sent to one gateway by others, of the record.
struct FleetHeard {
  uint64_t messages = 0;
  uint64_t facts = 0;  // that these messages carried
};

struct FleetOutcome {
  std::vector<FleetHeard> heard;  // by gateway
  FleetHistory history;
  std::vector<FleetViolation> violations;
  uint64_t hash = 0;  // of the whole history
  uint64_t messages = 0, events = 0, taken = 0, acts = 0, refused = 0, refused_changes = 0;
  std::vector<Ms> gaps;            // between the end of one holder's say and the next one's beginning
  std::vector<FleetFault> faults;  // those given and drawn
  uint32_t merges_ended = 0;       // of which at least one who asked was told rows
  size_t unheld_at_end = 0;        // duties that nobody held when it ended
};

FleetOutcome play(const FleetOptions& options);

// Leaves out faults, one after the other, for as long as the same rule is still broken: a short way to it.
FleetOptions cut_down(const FleetOptions& options, const std::string& rule);

}  // namespace firvalve::simulation
