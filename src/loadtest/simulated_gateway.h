// A simulated gateway: the production code of a gateway's control paths (configuration, cluster, endpoint
// list) on real sockets, without clients and without admission decisions. One process can run many of them;
// each has its own reactor on its own thread, so that an event loop turn costs the same as in the real
// program.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/units.h"

namespace firvalve::loadtest {

// How a simulated gateway is set up.
struct SimulatedGatewayOptions {
  std::string address;               // HOST:PORT of the listener for peers
  std::string reached_at;            // address that peers connect to; empty: `address`
  std::string site;                  // free text; the scale run sets the zone
  std::vector<std::string> keepers;  // addresses of the replicas; empty: no cluster
  std::vector<std::string> leases;   // leases that it is a candidate for
  std::string folder;                // where a replica persists its state; empty: memory only
  Ms lease_ms = 3000;
  std::string bus;         // address of the event bus; empty: none
  std::string known_list;  // initial endpoint list, as a line of the event bus; empty: none
  uint64_t seed = 1;
};

// Traffic over one class of connections since the gateway's start.
struct LinkTraffic {
  uint64_t frames_in = 0, frames_out = 0;  // a frame is one write with one or more messages
  uint64_t messages_in = 0, messages_out = 0;
  uint64_t bytes_in = 0, bytes_out = 0;
  uint64_t connects = 0;  // connection attempts
};

// A change of a lease that this gateway held or acquired.
struct LeaseEvent {
  enum class Kind : uint8_t { kTaken, kRenewed, kLeft, kLost };
  Kind kind = Kind::kTaken;
  std::string lease;
  uint64_t epoch = 0;
  Ms at = 0;     // read_report_clock()
  Ms until = 0;  // kTaken and kRenewed: the lease's expiry
};

// Counters and state of a simulated gateway.
struct SimulatedGatewayReport {
  bool is_up = false;
  bool record_ready = false;  // a replica that is ready
  LinkTraffic peers;          // with replicas and, at a replica, with the gateways that connect to it
  uint64_t links_lost = 0;
  uint64_t list_updates = 0;  // bus events that were applied
  uint64_t bus_links_lost = 0;
  Ms list_updated_at = 0;                // read_report_clock() when the last event was applied
  double cpu_us = 0;                     // CPU time of its thread since its start
  std::vector<LeaseEvent> lease_events;  // since the last report
};

// The clock of all reports, in ms; the same in all processes of a machine.
Ms read_report_clock();

// A gateway that can be started, killed and shut down. Call it from any thread, but from one at a time.
class SimulatedGateway {
 public:
  explicit SimulatedGateway(SimulatedGatewayOptions options);
  ~SimulatedGateway();  // kill()
  SimulatedGateway(const SimulatedGateway&) = delete;
  SimulatedGateway& operator=(const SimulatedGateway&) = delete;

  void start();  // a new incarnation; throws ScaleError: address in use, invalid options
  void kill();   // closes all connections without a graceful shutdown; only the state in `folder` remains
  // Graceful shutdown, as on SIGTERM: releases its leases first.
  void begin_end();
  void wait_ended();
  bool is_up() const { return running_ != nullptr; }
  SimulatedGatewayReport report();
  const SimulatedGatewayOptions& options() const { return options_; }

 private:
  struct Running;
  const SimulatedGatewayOptions options_;
  std::unique_ptr<Running> running_;
};

}  // namespace firvalve::loadtest
