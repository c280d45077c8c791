// A child process of the scale run: simulated gateways, an event bus, or both. The parent's handle is
// GatewayProcess; the child is the program `firvalve_simulated_gateways` beside the load test's own. It ends
// when its parent's handle does, and also when the parent dies: the end of the channel between them is its
// end.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "loadtest/simulated_gateway.h"

namespace firvalve::loadtest {

struct GatewayProcessOptions {
  std::vector<SimulatedGatewayOptions> gateways;
  std::string bus_address;  // where an event bus listens; empty: none here
};

struct EventBusReport {
  uint64_t connections_open = 0, connections_made = 0;
  uint64_t lines_in = 0, lines_out = 0;
  uint64_t bytes_in = 0, bytes_out = 0;
  uint64_t updates = 0;  // that were accepted
  Ms accepted_at = 0;    // read_report_clock() when the last of them was
  double cpu_us = 0;     // of its thread
};

struct GatewayProcessReport {
  std::vector<SimulatedGatewayReport> gateways;  // as in the options
  EventBusReport bus;
  double cpu_us = 0;       // of the whole process, since its start
  double resident_mb = 0;  // now
  int descriptors = 0;     // open now
  Ms at = 0;               // read_report_clock()
};

class GatewayProcess {
 public:
  // Begins it; wait_ready() tells that all in it are up. Both throw ScaleError.
  explicit GatewayProcess(GatewayProcessOptions options);
  ~GatewayProcess();  // it is killed where it does not end by itself
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // All of these throw ScaleError where the child has died or does not answer.
  void wait_ready();
  GatewayProcessReport report();
  void kill_gateways(const std::vector<size_t>& which);   // by their places in the options
  void start_gateways(const std::vector<size_t>& which);  // again
  void end_gateways(const std::vector<size_t>& which);    // in good order; returns once all have ended
  // An update of the engine list at its bus: a difference, or a whole list.
  void announce(const std::string& listings, bool whole);

  // The two halves of report(), to ask several processes at one moment.
  void ask_report();
  GatewayProcessReport read_report();

  void kill();  // SIGKILL, and its end awaited: a machine or rack that is gone
  bool is_up() const { return id_ > 0; }
  pid_t id() const { return id_; }
  const GatewayProcessOptions& options() const { return options_; }

 private:
  void start();
  void say(const std::string& line);
  std::string handle();
  void do_command(const std::string& line);

  const GatewayProcessOptions options_;
  pid_t id_ = 0;
  int channel_ = -1;
  std::string unread_;
};

// The program of that name in the folder of the one that runs.
std::string sibling_program(const std::string& name);

}  // namespace firvalve::loadtest
