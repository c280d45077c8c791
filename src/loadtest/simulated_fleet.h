// A fleet of simulated gateways over child processes, with their keepers and one event bus.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "loadtest/gateway_process.h"
#include "loadtest/parts.h"

namespace firvalve::loadtest {

struct SimulatedFleetOptions {
  int gateways = 0;             // the keepers among them
  int keepers = 3;              // 0: no fleet, the event bus alone
  int leases = 0;               // that every gateway is willing to hold
  int engines = 0;              // in the list that gateways know at their start
  int zones = 1;                // gateway i stands in zone i % zones
  bool bus = true;              // an event bus that all follow
  bool keeper_folders = false;  // keepers keep what they promised on disk
  Ms lease_ms = 3000;
  // The keepers and a first group are started before all others, who come once every lease has a holder.
  // False: all at once, and all claim all leases at once.
  bool staged_start = true;
  int gateways_per_process = 64;
  uint64_t seed = 1;
};

class SimulatedFleet {
 public:
  // Plans the processes, raises the limit of descriptors to what the machine allows, starts all. Throws
  // ScaleError: sizes that contradict one another, a port in use, too few descriptors.
  explicit SimulatedFleet(const SimulatedFleetOptions& options);

  // Until every keeper takes part, every lease has a holder and every gateway follows the bus; throws
  // ScaleError when it takes longer than that. `each_look` is called some times a second meanwhile.
  void wait_settled(Ms longest, const std::function<void()>& each_look = {});

  struct Snapshot {
    Ms at = 0;
    std::vector<SimulatedGatewayReport> gateways;  // in the fleet's order, the keepers first
    EventBusReport bus;
    double resident_mb = 0;  // of all processes
    double cpu_us = 0;       // of all processes
    size_t processes = 0;
  };
  Snapshot snapshot();

  void kill_gateways(const std::vector<size_t>& which);  // by their numbers in the fleet
  void start_gateways(const std::vector<size_t>& which);
  void end_gateways(const std::vector<size_t>& which);     // in good order, as at SIGTERM
  void announce(const std::string& listings, bool whole);  // at the event bus

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
    size_t process = 0, place = 0;  // its place in that process's options
  };
  void for_each_process(const std::vector<size_t>& which,
                        void (GatewayProcess::*act)(const std::vector<size_t>&));
  void start_processes(std::vector<GatewayProcessOptions> plan);
  void start_group(std::vector<GatewayProcessOptions>& plan, size_t first, size_t end);
  size_t gateways_started() const;

  const SimulatedFleetOptions options_;
  struct Folder {  // of keepers, with all in it; no path: none
    Folder() = default;
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    ~Folder();
    std::string path;
  } folder_;
  std::string bus_address_;
  std::vector<Member> members_;
  std::vector<std::unique_ptr<GatewayProcess>> processes_;  // the bus's last
  std::map<std::string, Ms> held_until_;                    // leases, by what wait_settled() has seen
};

// The address of the n-th process of this run, all of one length: 127.x.y.z:port.
std::string loopback_address(size_t number);
// Engines `first` to `first + count - 1` as an event of the bus lists them.
std::string engine_listings(int first, int count, const std::string& state = "SERVING");

}  // namespace firvalve::loadtest
