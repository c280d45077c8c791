// Simulates a cluster in virtual time: the real state machines of many gateways (cluster/cluster_node.h) on
// models of the network, clocks, disks, process stalls and crashes. One thread, no sockets, no clock; the
// same options give the same history. Engines are modelled only as runs that start and finish.
//
// Modelled: lost, duplicated, late and reordered messages; network partitions, in one or both directions;
// processes that stall and resume, or crash and restart with or without their disk; clocks with different
// rates and offsets; disks that fail to write. Not modelled: CPU cost and bandwidth.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulation/invariant_checker.h"

namespace firvalve::simulation {

struct ClusterFault {
  enum class Kind : uint8_t { kStall, kKill, kCut, kCutOneWay, kDisk };
  Kind kind = Kind::kStall;
  Ms at = 0, duration = 0;       // kKill: time until the restart; 0: at once; negative: no restart
  uint32_t node = 0, other = 0;  // kCut, kCutOneWay: between these; other == node: from all others
  bool loses_disk = false;       // kKill: the restarted gateway has an empty disk
};

struct ClusterWorldOptions {
  uint64_t seed = 1;
  uint32_t replicas = 3, gateways = 8;  // the first gateways are the replicas
  uint32_t leases = 4;                  // every gateway campaigns for each of them
  uint32_t jobs = 2;                    // run-once jobs, each submitted at three random gateways and times
  Ms duration = 30000, lease_duration = 1000;
  Ms min_delay = 0.2, max_delay = 2;  // of a message
  double late_share = 0;              // of messages, with an extra delay of up to two lease durations
  double lost_share = 0, duplicated_share = 0;
  double clock_drift = 0.009;    // between the fastest and the slowest clock
  bool have_disks = true;        // replicas have disks
  double faults_per_second = 0;  // random faults, besides the given ones
  bool may_lose_disks = true;    // random kills may lose a replica's disk, one replica at a time
  std::vector<ClusterFault> given_faults;
  uint32_t publishers = 2;  // gateways that propose versions of one topic and declare its readers
  uint32_t readers = 2;     // gateways that keep reading and changing the registers
};

// Messages of the state machines that other gateways sent to one gateway.
struct ReceivedTraffic {
  uint64_t messages = 0;
  uint64_t facts = 0;  // entries in these messages
};

struct ClusterWorldOutcome {
  std::vector<ReceivedTraffic> received;  // by gateway
  ClusterHistory history;
  std::vector<InvariantViolation> violations;
  uint64_t hash = 0;  // of the whole history
  uint64_t messages = 0, events = 0;
  uint64_t acquisitions = 0;                              // of leases
  uint64_t accepted_requests = 0, rejected_requests = 0;  // fenced requests, at their receivers
  uint64_t rejected_changes = 0;                          // of the topic
  std::vector<Ms> gaps;              // from the end of one lease term to the start of the next holder's
  std::vector<ClusterFault> faults;  // random and given ones
  uint32_t finished_jobs = 0;        // jobs of which at least one submitter received the result
  size_t unheld_leases = 0;          // at the end
};

ClusterWorldOutcome play(const ClusterWorldOptions& options);

// Minimises a failing run: leaves out faults one by one and shortens the run as long as the same rule is
// still violated.
ClusterWorldOptions minimise(const ClusterWorldOptions& options, const std::string& rule);

}  // namespace firvalve::simulation
