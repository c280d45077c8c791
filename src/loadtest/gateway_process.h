// A child process of the scale run that runs simulated gateways, an event bus, or both. GatewayProcess is the
// parent's handle; the child is the program `firvalve_simulated_gateways`, in the same folder as the load
// test. The child exits when the channel to its parent closes: when the handle is destroyed or the parent
// dies.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "loadtest/simulated_gateway.h"

namespace firvalve::loadtest {

// What a child process runs.
struct GatewayProcessOptions {
  std::vector<SimulatedGatewayOptions> gateways;
  std::string bus_address;  // listen address of the event bus; empty: the process runs none
};

// Traffic and cost of the event bus in a child process.
struct EventBusReport {
  uint64_t connections_open = 0, connections_made = 0;
  uint64_t lines_in = 0, lines_out = 0;
  uint64_t bytes_in = 0, bytes_out = 0;
  uint64_t updates = 0;  // accepted updates
  Ms accepted_at = 0;    // read_report_clock() when the last update was accepted
  double cpu_us = 0;     // of the whole process; right for the bus only if it runs no gateways
};

// State and cost of a child process at one time.
struct GatewayProcessReport {
  std::vector<SimulatedGatewayReport> gateways;  // in the order of the options
  EventBusReport bus;
  double cpu_us = 0;       // of the whole process since its start
  double resident_mb = 0;  // now
  int descriptors = 0;     // open now
  Ms at = 0;               // read_report_clock() when the report was made
};

// The parent's handle of a child process.
class GatewayProcess {
 public:
  // Starts the process; wait_ready() blocks until everything in it is up. Both throw ScaleError.
  explicit GatewayProcess(GatewayProcessOptions options);
  ~GatewayProcess();  // closes the channel; kills the process if it does not exit in time
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // The functions down to read_report() throw ScaleError if the child has died or does not answer.
  void wait_ready();
  GatewayProcessReport report();
  void kill_gateways(const std::vector<size_t>& which);   // `which`: indices into the options
  void start_gateways(const std::vector<size_t>& which);  // restarts killed or ended gateways
  void end_gateways(const std::vector<size_t>& which);    // gracefully; returns once all have ended
  // Publishes an update of the engine list on the process's event bus: a complete list if `whole`, otherwise
  // a difference.
  void announce(const std::string& listings, bool whole);

  // The request and the answer of report(), separated so that several processes can be asked at the same
  // time.
  void ask_report();
  GatewayProcessReport read_report();

  void kill();  // sends SIGKILL and waits for the exit; simulates the loss of a machine or rack
  bool is_up() const { return id_ > 0; }
  pid_t id() const { return id_; }
  const GatewayProcessOptions& options() const { return options_; }

 private:
  void start();
  void say(const std::string& line);
  std::string handle();  // blocks until the next line of the child and returns it
  void do_command(const std::string& line);

  const GatewayProcessOptions options_;
  pid_t id_ = 0;
  int channel_ = -1;    // the parent's end of the socket pair; -1: closed
  std::string unread_;  // received bytes after the last complete line that was returned
};

// Returns the path of the program `name` in the folder of the running executable.
std::string sibling_program(const std::string& name);

}  // namespace firvalve::loadtest
