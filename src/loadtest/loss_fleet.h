// A fleet of simulated gateways that parts can be taken from: processes that are killed, and regions that are
// cut apart by the proxies through which all keepers are reached.
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

struct LossFleetOptions {
  TopologyOptions topology;
  int leases = 20;  // that every gateway is willing to hold, and no keeper
  Ms lease_ms = 3000;
  uint64_t seed = 1;
};

// Members are numbered: keepers first, then gateways. Gateways of one zone share a process. One gateway a
// region has a process to itself and holds leases first; the others of its rack have one, too.
class LossFleet {
 public:
  // Starts all and waits until every lease is held and every gateway has been told so. Throws ScaleError.
  LossFleet(const LossFleetOptions& options, const Progress& progress);
  ~LossFleet();
  LossFleet(const LossFleet&) = delete;
  LossFleet& operator=(const LossFleet&) = delete;

  const Topology& topology() const { return topology_; }
  size_t keepers() const { return topology_.keepers().size(); }
  size_t size() const { return names_.size(); }
  size_t member_of_gateway(size_t gateway) const { return keepers() + gateway; }
  std::vector<size_t> gateways_up() const;  // as members
  // Names of gateways that are up, in these regions; all regions where there are none.
  std::map<std::string, size_t> holders_up(const std::vector<size_t>& regions = {}) const;

  // All members in the rack or the zone of a gateway that has a process to itself.
  std::vector<size_t> rack_of(size_t holder) const;
  std::vector<size_t> zone_of(size_t holder) const;
  std::vector<size_t> holders() const;  // by lease, as the newest claims name them; free leases left out
  // The gateway with a process of its own that holds the most leases. Throws ScaleError: none holds any.
  size_t busiest_holder() const;
  // Of those in whose zone a keeper stands.
  size_t busiest_holder_beside_keeper() const;

  // SIGKILL to all processes of these members, which must be whole processes; and the same started again.
  void kill(const std::vector<size_t>& members);
  void start(const std::vector<size_t>& members);
  bool keeper_ready(size_t keeper);  // it takes part in the record
  void set_cut(size_t region, size_t other_region, bool cut);

  // Whether all of these gateways see every lease held by one of the holders, told since then.
  bool is_served(const std::vector<size_t>& members, const std::map<std::string, size_t>& holders,
                 Ms since) const {
    return view_.is_served(members, holders, since);
  }
  void wait_served(Ms longest, const Progress& progress);
  std::vector<KeeperTraffic> traffic() const;  // by keeper; throws ScaleError: a proxy has no descriptor left

  // Takes in what all members have reported since the last time.
  void collect_history();
  // Members that may act for some lease at this moment, by their own reports.
  std::vector<size_t> holders_now();
  std::vector<simulation::InvariantViolation> violations();
  std::vector<pid_t> process_ids() const;

 private:
  struct Process {
    std::vector<size_t> members;
    GatewayProcessOptions options;
    std::unique_ptr<GatewayProcess> child;  // none: it is down
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
  std::vector<std::string> names_;         // of members
  std::map<std::string, size_t> members_;  // by name
  std::vector<Place> places_;
  std::vector<std::string> keeper_addresses_;  // where they listen themselves
  LeaseView view_;
  std::vector<std::unique_ptr<RegionProxy>> proxies_;  // by keeper
  std::vector<Process> processes_;                     // of keepers, of first holders, of all others
  std::vector<size_t> process_of_;                     // by member
  simulation::ClusterHistory history_;
};

// A rate of the keeper that has the most of it.
struct TrafficRate {
  double messages = 0, bytes = 0, connects = 0;  // a second
};

// Samples the traffic of all keepers over sliding windows of a second.
class TrafficMeter {
 public:
  explicit TrafficMeter(const LossFleet& fleet) : fleet_(fleet) { sample(); }
  void sample();  // does nothing within 100 ms of the last
  // From here on peaks and sums are counted.
  void restart();
  const TrafficRate& peak() const { return peak_; }
  const TrafficRate& last_second() const { return last_second_; }
  // All keepers together, at each sample since the restart.
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
