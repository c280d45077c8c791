// Runs a cluster of simulated gateways in child processes, with its replicas (`keepers`) and one event bus.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "loadtest/gateway_process.h"
#include "loadtest/parts.h"

namespace firvalve::loadtest {

// The sizes of a simulated cluster and how it is started.
struct SimulatedFleetOptions {
  int gateways = 0;             // total, including the replicas
  int keepers = 3;              // number of replicas; 0: no cluster, only the event bus
  int leases = 0;               // number of leases; every gateway is a candidate for each
  int engines = 0;              // number of engines in each gateway's initial endpoint list
  int zones = 1;                // gateway i is in zone i % zones
  bool bus = true;              // start an event bus that every gateway watches
  bool keeper_folders = false;  // replicas persist their state on disk
  Ms lease_ms = 3000;
  // True: starts the replicas and one process of other gateways first, and the rest once every lease has a
  // holder. False: starts all gateways at once, so that all of them compete for all leases.
  bool staged_start = true;
  int gateways_per_process = 64;
  uint64_t seed = 1;
};

// The cluster and its child processes.
class SimulatedFleet {
 public:
  // Raises the soft limit on file descriptors to the hard limit and starts all processes. Throws ScaleError
  // if the sizes contradict each other, a port is in use, or the descriptor limit is too low.
  explicit SimulatedFleet(const SimulatedFleetOptions& options);

  // Waits until every replica is ready, every lease has a holder and every started gateway is connected to
  // the bus. Calls `each_look` before each poll, several times a second. Throws ScaleError after `longest`.
  void wait_settled(Ms longest, const std::function<void()>& each_look = {});

  // The reports of all processes that are up.
  struct Snapshot {
    Ms at = 0;
    std::vector<SimulatedGatewayReport> gateways;  // by gateway number, replicas first
    EventBusReport bus;
    double resident_mb = 0;  // sum over all processes
    double cpu_us = 0;       // sum over all processes
    size_t processes = 0;
  };
  Snapshot snapshot();

  void kill_gateways(const std::vector<size_t>& which);  // `which`: gateway numbers
  void start_gateways(const std::vector<size_t>& which);
  void end_gateways(const std::vector<size_t>& which);     // graceful shutdown, as on SIGTERM
  void announce(const std::string& listings, bool whole);  // publishes on the event bus

  size_t size() const { return members_.size(); }
  const std::string& address(size_t gateway) const { return members_[gateway].address; }
  const std::string& bus_address() const { return bus_address_; }
  int zone(size_t gateway) const { return static_cast<int>(gateway) % options_.zones; }
  const SimulatedFleetOptions& options() const { return options_; }
  size_t process_of(size_t gateway) const { return members_[gateway].process; }
  GatewayProcess& process(size_t i) { return *processes_[i]; }
  size_t processes() const { return processes_.size(); }

 private:
  struct Member {
    std::string address;
    size_t process = 0, place = 0;  // `place`: index in that process's options
  };
  void for_each_process(const std::vector<size_t>& which,
                        void (GatewayProcess::*act)(const std::vector<size_t>&));
  void start_processes(std::vector<GatewayProcessOptions> plan);
  void start_group(std::vector<GatewayProcessOptions>& plan, size_t first, size_t end);
  size_t gateways_started() const;

  const SimulatedFleetOptions options_;
  struct Folder {  // holds the replicas' state and is deleted with this object; empty path: none
    Folder() = default;
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    ~Folder();
    std::string path;
  } folder_;
  std::string bus_address_;
  std::vector<Member> members_;
  std::vector<std::unique_ptr<GatewayProcess>> processes_;  // the event bus's process is last
  std::map<std::string, Ms> held_until_;                    // latest lease expiry that wait_settled() saw
};

// The n-th loopback address of this run, as 127.x.y.z:port. All addresses have the same length.
std::string loopback_address(size_t number);
// The listings of engines `first` to `first + count - 1` in the format of a bus event.
std::string engine_listings(int first, int count, const std::string& state = "SERVING");

}  // namespace firvalve::loadtest
