// One gateway's part in the fleet, all machines together, still without I/O or clock: keeper (where it is
// one), asker, follower, duties, merges. The program's driver (fleet.h) and the world in virtual time
// (simulation/fleet_world.h) run the same.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/acceptor.h"
#include "consensus/proposer.h"
#include "consensus/register_watcher.h"
#include "lease/lease_manager.h"
#include "lease/run_once_jobs.h"
#include "schema/declaration_expiry.h"
#include "schema/registry.h"

namespace firvalve::cluster {

struct ClusterNodeOptions {
  consensus::PeerId self = 0;  // below keepers: it is that keeper
  uint32_t keepers = 3;
  std::string name;   // the address that its peers reach it at
  uint64_t draw = 1;  // the chance of this start: of lives, ids and waits
  Ms lease = 3000;
  size_t record_bytes = 32 * 1024 * 1024;  // of values that a keeper holds
};

class ClusterNode {
 public:
  // A keeper without a memory, or no keeper.
  ClusterNode(Ms now, const ClusterNodeOptions& options);
  // A keeper with all that it had made durable.
  ClusterNode(Ms now, const ClusterNodeOptions& options, consensus::ReplicaMetadata standing,
              std::map<std::string, consensus::AcceptorSlot> slots);

  void handle(Ms now, consensus::PeerId from, const consensus::Message& m);
  void due(Ms now);
  Ms next_due() const;

  // First the keeper's writes are made durable, then everything goes out. Sends to itself come back by
  // handle().
  struct Out {
    consensus::Step keeper;
    std::vector<consensus::Envelope> sends;
  };
  Out take();
  void unwritten(consensus::Step step) { keeper_->unwritten(std::move(step)); }
  std::vector<lease::Event> take_events() { return std::exchange(events_, {}); }

  bool is_keeper() const { return keeper_.has_value(); }
  const consensus::Acceptor* keeper() const { return keeper_ ? &*keeper_ : nullptr; }
  consensus::Acceptor* keeper() { return keeper_ ? &*keeper_ : nullptr; }
  lease::LeaseManager& duties() { return duties_; }
  lease::RunOnceJobs& merges() { return merges_; }
  schema::Registry& registry() { return registry_; }
  std::vector<schema::Registry::End> take_changes() { return registry_.take_ends(); }
  consensus::Proposer& asker() { return asker_; }
  // Ends of wishes that are not the duties'.
  std::vector<consensus::ProposalResult> take_ends() { return std::exchange(ends_, {}); }

 private:
  void go_on(Ms now);
  void see(Ms now, const std::string& key, const consensus::Register& fact);

  ClusterNodeOptions options_;
  std::optional<consensus::Acceptor> keeper_;
  consensus::Proposer asker_;
  consensus::RegisterWatcher follower_;
  lease::LeaseManager duties_;
  lease::RunOnceJobs merges_;
  schema::Registry registry_;
  schema::DeclarationExpiry lapses_;
  std::vector<lease::Event> events_;
  std::vector<consensus::ProposalResult> ends_;
};

}  // namespace firvalve::cluster
