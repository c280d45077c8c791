// One gateway's part in the cluster: its state machines together, without I/O or clock. An acceptor (where
// the gateway is a replica), a proposer, a watcher, the leases, the run-once jobs and the registry of
// schemas. The program (cluster_service.h) and the simulation in virtual time (simulation/fleet_world.h) run
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
  consensus::PeerId self = 0;  // below `replica_count`: it is that replica
  uint32_t replica_count = 3;
  std::string name;          // HOST:PORT by which peers know it
  uint64_t random_seed = 1;  // drawn anew at each start: incarnations, ids and waits come from it
  Duration lease_duration = Duration(3000);
  size_t max_register_bytes = size_t{32} * 1024 * 1024;  // of values that a replica stores
};

class ClusterNode {
 public:
  // A replica that has nothing stored, or no replica.
  ClusterNode(consensus::BootTime now, const ClusterNodeOptions& options);
  // A replica with all that it had made durable.
  ClusterNode(consensus::BootTime now, const ClusterNodeOptions& options, consensus::ReplicaMetadata metadata,
              std::map<std::string, consensus::AcceptorSlot> slots);

  void handle(consensus::BootTime now, consensus::PeerId from, const consensus::Message& message);
  void on_tick(consensus::BootTime now);
  std::optional<consensus::BootTime> next_deadline() const;

  // What the driver does next. The acceptor's writes are made durable before its messages go out; `envelopes`
  // wait for nothing. A message to this gateway itself comes back by handle().
  struct Output {
    consensus::AcceptorOutput acceptor;
    std::vector<consensus::Envelope> envelopes;
  };
  Output take_output();
  // The output could not be written: its writes come again with a later one, its messages are dropped.
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
  // Results of proposals that are neither the leases' nor the registry's.
  std::vector<consensus::ProposalResult> take_results() { return std::exchange(results_, {}); }

 private:
  void exchange_events(consensus::BootTime now);
  bool dispatch_results(consensus::BootTime now);  // whether there were any
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
