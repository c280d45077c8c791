// A cluster of simulated gateways for loss trials. Processes can be killed and restarted, and regions can be
// partitioned: every acceptor (`keeper`) is reached through a proxy that can block a region.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "loadtest/gateway_process.h"
#include "loadtest/lease_view.h"
#include "loadtest/parts.h"
#include "loadtest/region_proxy.h"
#include "loadtest/topology.h"
#include "simulation/invariant_checker.h"

namespace firvalve::loadtest {

// Size, leases and random seed of the cluster.
struct LossFleetOptions {
  TopologyOptions topology;
  int leases = 20;  // every gateway competes for them, no acceptor does
  Ms lease_ms = 3000;
  uint64_t seed = 1;
};

// Member numbers count the acceptors (`keepers`) first, then the gateways. One gateway per region has its own
// process and is started first, so that it acquires leases first. The other gateways of its rack share a
// process, and the remaining gateways of each zone share another.
class LossFleet {
 public:
  // Starts all processes and waits until every lease is held and every gateway knows its holder. Throws
  // ScaleError.
  LossFleet(const LossFleetOptions& options, const Progress& progress);
  ~LossFleet();
  LossFleet(const LossFleet&) = delete;
  LossFleet& operator=(const LossFleet&) = delete;

  const Topology& topology() const { return topology_; }
  size_t keepers() const { return topology_.keepers().size(); }
  size_t size() const { return names_.size(); }
  size_t member_of_gateway(size_t gateway) const { return keepers() + gateway; }
  std::vector<size_t> gateways_up() const;  // member numbers
  // Running gateways in these regions, member number by name. An empty list means all regions.
  std::map<std::string, size_t> holders_up(const std::vector<size_t>& regions = {}) const;

  // All members in the same rack or zone as `holder`, a gateway that has its own process.
  std::vector<size_t> rack_of(size_t holder) const;
  std::vector<size_t> zone_of(size_t holder) const;
  std::vector<size_t> holders() const;  // from the newest claim on each lease; free ones omitted
  // Returns the gateway with its own process that holds the most leases. Throws ScaleError if none holds any.
  size_t busiest_holder() const;
  // As above, only among gateways whose zone also contains an acceptor.
  size_t busiest_holder_beside_keeper() const;

  // Sends SIGKILL to the processes of these members, or starts them again. kill() throws ScaleError if a
  // process also hosts a member that is not listed.
  void kill(const std::vector<size_t>& members);
  void start(const std::vector<size_t>& members);
  bool keeper_ready(size_t keeper);  // it has joined the replicated record
  void set_cut(size_t region, size_t other_region, bool cut);

  // Whether each of these gateways has had an update since `since` and sees every lease held by one of
  // `holders`.
  bool is_served(const std::vector<size_t>& members, const std::map<std::string, size_t>& holders,
                 Ms since) const {
    return view_.is_served(members, holders, since);
  }
  void wait_served(Ms longest, const Progress& progress);
  // Traffic by acceptor. Throws ScaleError if a proxy ran out of descriptors.
  std::vector<KeeperTraffic> traffic() const;

  // Adds the lease events that all members have reported since the last call to the history.
  void collect_history();
  // Members whose own reports say that they hold an unexpired lease now.
  std::vector<size_t> holders_now();
  std::vector<simulation::InvariantViolation> violations();
  std::vector<pid_t> process_ids() const;

 private:
  struct Process {
    std::vector<size_t> members;
    GatewayProcessOptions options;
    std::unique_ptr<GatewayProcess> child;  // null while it is down
  };
  size_t busiest_of(const std::function<bool(size_t member)>& is_wanted) const;
  void plan_processes(const LossFleetOptions& options);
  void add_process(const std::vector<size_t>& members, const LossFleetOptions& options);
  void start_proxies();
  void launch(size_t first, size_t count);
  void collect(Process& process);
  void note(size_t member, const LeaseEvent& event);

  const Topology topology_;
  std::vector<std::string> leases_;
  std::vector<std::string> names_;         // by member
  std::map<std::string, size_t> members_;  // by name
  std::vector<Place> places_;
  std::vector<std::string> keeper_addresses_;  // where acceptors listen, behind the proxies
  LeaseView view_;
  std::vector<std::unique_ptr<RegionProxy>> proxies_;  // by acceptor
  std::vector<Process> processes_;                     // acceptors, then first holders, then the others
  std::vector<size_t> process_of_;                     // by member
  simulation::ClusterHistory history_;
};

// Traffic rates. Each one is the highest among the acceptors (`keepers`).
struct TrafficRate {
  double messages = 0, bytes = 0, connects = 0;  // per second
};

// Samples the traffic of all acceptors over sliding windows of one second.
class TrafficMeter {
 public:
  explicit TrafficMeter(const LossFleet& fleet) : fleet_(fleet) { sample(); }
  void sample();  // does nothing within 100 ms of the previous sample
  // Resets the peaks and sums.
  void restart();
  const TrafficRate& peak() const { return peak_; }
  const TrafficRate& last_second() const { return last_second_; }
  // Totals over all acceptors, one entry per sample since restart().
  struct Sum {
    Ms at = 0;
    KeeperTraffic traffic;
  };
  const std::vector<Sum>& sums() const { return sums_; }

 private:
  struct Sample {
    Ms at = 0;
    std::vector<KeeperTraffic> keepers;
  };
  const LossFleet& fleet_;
  std::vector<Sample> samples_;
  std::vector<Sum> sums_;
  TrafficRate peak_, last_second_;
};

}  // namespace firvalve::loadtest
