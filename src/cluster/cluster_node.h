// Combines the cluster state machines of one gateway: an acceptor (if the gateway is a replica), a proposer,
// a register watcher, the leases, the run-once jobs and the schema registry. It does no I/O and reads no
// clock, so the program (cluster_service.h) and the simulation in virtual time (simulation/fleet_world.h) run
// the same code.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "consensus/acceptor.h"
#include "consensus/proposer.h"
#include "consensus/register_watcher.h"
#include "lease/lease_manager.h"
#include "lease/run_once_jobs.h"
#include "schema/declaration_expiry.h"
#include "schema/registry.h"

namespace firvalve::cluster {

struct ClusterNodeOptions {
  consensus::PeerId self = 0;  // the gateway is a replica if this is below `replica_count`
  uint32_t replica_count = 3;
  std::string name;  // advertised HOST:PORT
  // Seeds the incarnation, ids and random delays; needs a new value at each start of the gateway.
  uint64_t random_seed = 1;
  Duration lease_duration = Duration(3000);
  size_t max_register_bytes = size_t{32} * 1024 * 1024;  // limit on the total size of the values of a replica
};

class ClusterNode {
 public:
  // A gateway without stored replica state: a new replica, or not a replica.
  ClusterNode(consensus::BootTime now, const ClusterNodeOptions& options);
  // A replica that restarts with its stored state.
  ClusterNode(consensus::BootTime now, const ClusterNodeOptions& options, consensus::ReplicaMetadata metadata,
              std::map<std::string, consensus::AcceptorSlot> slots);

  void handle(consensus::BootTime now, consensus::PeerId from, const consensus::Message& message);
  void on_tick(consensus::BootTime now);
  std::optional<consensus::BootTime> next_deadline() const;

  // Work for the driver. The acceptor's messages must not be sent before its writes are durable; `envelopes`
  // can be sent at once. Messages addressed to this gateway itself must be passed back to handle().
  struct Output {
    consensus::AcceptorOutput acceptor;
    std::vector<consensus::Envelope> envelopes;
  };
  Output take_output();
  // Reports that an output could not be written. A later output contains its writes again; the driver must
  // drop its messages.
  void on_write_failed(const consensus::AcceptorOutput& output) { acceptor_->on_write_failed(output); }
  std::vector<lease::Event> take_events() { return std::exchange(events_, {}); }

  bool is_replica() const { return acceptor_.has_value(); }
  const consensus::Acceptor* acceptor() const { return acceptor_ ? &*acceptor_ : nullptr; }
  consensus::Acceptor* acceptor() { return acceptor_ ? &*acceptor_ : nullptr; }
  lease::LeaseManager& leases() { return leases_; }
  lease::RunOnceJobs& run_once_jobs() { return run_once_jobs_; }
  schema::Registry& registry() { return registry_; }
  std::vector<schema::Registry::Result> take_topic_results() { return registry_.take_results(); }
  consensus::Proposer& proposer() { return proposer_; }
  // Results of proposals made directly through proposer(), not by the leases or the registry.
  std::vector<consensus::ProposalResult> take_results() { return std::exchange(results_, {}); }

 private:
  void exchange_events(consensus::BootTime now);
  bool dispatch_results(consensus::BootTime now);  // returns whether there were any
  bool propose_all(consensus::BootTime now, std::vector<consensus::Proposal> proposals);
  void handle_register(consensus::BootTime now, const std::string& key, const consensus::Register& value);

  ClusterNodeOptions options_;
  std::optional<consensus::Acceptor> acceptor_;
  consensus::Proposer proposer_;
  consensus::RegisterWatcher watcher_;
  lease::LeaseManager leases_;
  lease::RunOnceJobs run_once_jobs_;
  schema::Registry registry_;
  schema::DeclarationExpiry declaration_expiry_;
  std::vector<lease::Event> events_;
  std::vector<consensus::ProposalResult> results_;
};

}  // namespace firvalve::cluster
