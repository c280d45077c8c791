// One gateway's part in the fleet, all machines together, still without I/O or clock: keeper (where it is
// one), asker, follower, duties, merges. The program's driver (fleet.h) and the world in virtual time
// (lab/fleet_world.h) run the same.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "duty/duties.h"
#include "duty/merges.h"
#include "record/asker.h"
#include "record/follower.h"
#include "record/keeper.h"
#include "schema/lapses.h"
#include "schema/registry.h"

namespace firvalve::fleet {

struct NodeTerms {
  record::Peer self = 0;  // below keepers: it is that keeper
  uint32_t keepers = 3;
  std::string name;   // the address that its peers reach it at
  uint64_t draw = 1;  // the chance of this start: of lives, ids and waits
  Ms lease = 3000;
  size_t record_bytes = 32 * 1024 * 1024;  // of values that a keeper holds
};

class Node {
 public:
  // A keeper without a memory, or no keeper.
  Node(Ms now, const NodeTerms& terms);
  // A keeper with all that it had made durable.
  Node(Ms now, const NodeTerms& terms, record::Standing standing, std::map<std::string, record::Slot> slots);

  void hear(Ms now, record::Peer from, const record::Message& m);
  void due(Ms now);
  Ms next_due() const;

  // First the keeper's writes are made durable, then everything goes out. Sends to itself come back by
  // hear().
  struct Out {
    record::Step keeper;
    std::vector<record::Envelope> sends;
  };
  Out take();
  void unwritten(record::Step step) { keeper_->unwritten(std::move(step)); }
  std::vector<duty::Event> take_events() { return std::exchange(events_, {}); }

  bool is_keeper() const { return keeper_.has_value(); }
  const record::Keeper* keeper() const { return keeper_ ? &*keeper_ : nullptr; }
  record::Keeper* keeper() { return keeper_ ? &*keeper_ : nullptr; }
  duty::Duties& duties() { return duties_; }
  duty::Merges& merges() { return merges_; }
  schema::Registry& registry() { return registry_; }
  std::vector<schema::Registry::End> take_changes() { return registry_.take_ends(); }
  record::Asker& asker() { return asker_; }
  // Ends of wishes that are not the duties'.
  std::vector<record::End> take_ends() { return std::exchange(ends_, {}); }

 private:
  void go_on(Ms now);
  void see(Ms now, const std::string& key, const record::Fact& fact);

  NodeTerms terms_;
  std::optional<record::Keeper> keeper_;
  record::Asker asker_;
  record::Follower follower_;
  duty::Duties duties_;
  duty::Merges merges_;
  schema::Registry registry_;
  schema::Lapses lapses_;
  std::vector<duty::Event> events_;
  std::vector<record::End> ends_;
};

}  // namespace firvalve::fleet
