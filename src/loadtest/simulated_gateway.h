// A simulated gateway: the real code of a gateway's control paths (configuration, fleet, engine list) on real
// sockets, with no clients before it and no decisions behind it. Many fit into one process; each has its own
// reactor, on a thread of its own, so that a turn costs what it costs in a process of the program.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/units.h"

namespace firvalve::loadtest {

struct SimulatedGatewayOptions {
  std::string address;               // HOST:PORT where it listens for its peers
  std::string reached_at;            // the address that peers reach it at; empty: `address`
  std::string site;                  // free text: its zone
  std::vector<std::string> keepers;  // the addresses that they are reached at; empty: it is in no fleet
  std::vector<std::string> leases;   // that it is willing to hold
  std::string folder;                // of a keeper that outlives its process; empty: memory alone
  Ms lease_ms = 3000;
  std::string bus;         // address of the event bus; empty: it follows none
  std::string known_list;  // engine list at its start, as a line of the event bus; empty: none
  uint64_t seed = 1;
};

// Over one class of links, since the gateway's start.
struct LinkTraffic {
  uint64_t frames_in = 0, frames_out = 0;  // one write of a peer, with one message or several
  uint64_t messages_in = 0, messages_out = 0;
  uint64_t bytes_in = 0, bytes_out = 0;
  uint64_t connects = 0;  // connections that were begun
};

struct LeaseEvent {
  enum class Kind : uint8_t { kTaken, kRenewed, kLeft, kLost };
  Kind kind = Kind::kTaken;
  std::string lease;
  uint64_t epoch = 0;
  Ms at = 0;     // read_report_clock()
  Ms until = 0;  // of kTaken and kRenewed: the holder may act until then
};

struct SimulatedGatewayReport {
  bool is_up = false;
  bool record_ready = false;  // a keeper that takes part
  LinkTraffic peers;          // to and from keepers and, at a keeper, the gateways that come to it
  uint64_t links_lost = 0;
  uint64_t list_updates = 0;  // events of the bus that were followed
  uint64_t bus_links_lost = 0;
  Ms list_updated_at = 0;                // read_report_clock() when the last of them was in force
  double cpu_us = 0;                     // of its thread since its start
  std::vector<LeaseEvent> lease_events;  // since the last report
};

// The clock of all reports, the same in all processes of a machine, in ms.
Ms read_report_clock();

// From any thread, one at a time.
class SimulatedGateway {
 public:
  explicit SimulatedGateway(SimulatedGatewayOptions options);
  ~SimulatedGateway();  // kill()
  SimulatedGateway(const SimulatedGateway&) = delete;
  SimulatedGateway& operator=(const SimulatedGateway&) = delete;

  void start();  // a new incarnation. Throws ScaleError: its address is in use, its options cannot be read
  void kill();   // all its connections end without a word; it knows nothing any more but its folder
  // The end in good order, as at SIGTERM: what it holds is handed on first.
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
