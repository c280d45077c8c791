// Checks invariants of a cluster of gateways on the histories of all of them. It shares no code with the
// consensus, lease or job packages, so that it cannot share their faults. All times are of one clock.
//
// Invariants, by the names in InvariantViolation::rule:
//   one_holder     at most one gateway may act under a lease at any time
//   epochs_grow    each new holder of a lease has a higher epoch than all holders before
//   acts_in_order  a receiver accepts no fenced request of a lower epoch than one that it has accepted
//   once           a run-once job is started at most once
//   compatible     each published version of a topic has every field that a current declaration reads
//   linearizable   for each key, the changes and reads of the replicated register have one order that agrees
//                  with real time
#pragma once

#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/units.h"

namespace firvalve::simulation {

// A period in which a gateway may act under a lease.
struct LeaseTerm {
  std::string lease, holder;
  uint64_t epoch = 0;
  Ms from = 0, until = 0;
};

// A fenced request that its receiver accepted. ClusterHistory has them in the order of time.
struct AcceptedRequest {
  std::string lease, receiver;
  uint64_t epoch = 0;
  Ms at = 0;
};

// The start of a run-once job at an engine.
struct JobStart {
  std::string name;
  Ms at = 0;
};

// A completed change (compare-and-set) or read of a replicated register.
struct RegisterOperation {
  enum class Kind : uint8_t { kChange, kRead };
  Kind kind = Kind::kRead;
  std::string key;
  Ms started = 0, ended = 0;
  uint64_t version = 0;          // that it made or read
  uint64_t id = 0;               // of the change that made that version; 0: no change has been made
  uint64_t expected_change = 0;  // kChange: the id of the change that it expected to replace; 0: none
};

// The agreed state of a topic at some time.
struct TopicSnapshot {
  std::string name;
  Ms at = 0;
  std::map<uint64_t, std::set<std::string>> published;        // fields of each version that may be published
  std::map<std::string, std::set<std::string>> declarations;  // fields that each subscriber reads
};

struct ClusterHistory {
  std::vector<LeaseTerm> lease_terms;
  std::vector<AcceptedRequest> accepted_requests;
  std::vector<JobStart> job_starts;
  std::vector<TopicSnapshot> topics;
  std::vector<RegisterOperation> operations;  // only those with a known version
};

struct InvariantViolation {
  std::string rule, text;
};

std::vector<InvariantViolation> check_invariants(const ClusterHistory& history);

// Adds the lease terms that a gateway's log shows. The log has one JSON object a line: `lease.acquired`,
// `lease.renewed`, `lease.released` and `lease.lost` with `lease`, `epoch`, `at_ms` and, for the first two,
// `until_ms`. Lines of other events are ignored.
void add_lease_terms(const std::string& holder, const std::string& log, ClusterHistory& into);

// Parses the state of a topic as gateways report it: JSON with `versions` and `declarations`.
TopicSnapshot parse_topic(const std::string& name, Ms at, const std::string& json);

}  // namespace firvalve::simulation
