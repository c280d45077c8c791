// The effects of each fault that the planned size names, and the placement of the control machines.
#pragma once

#include <string>
#include <vector>

#include "loadtest/capacity_file.h"

namespace firvalve::loadtest {

// One row of the table of faults.
struct Trouble {
  std::string what;
  std::string how_often;
  std::string arithmetic;
};

// The faults of the planned size, each with its frequency and its effect on the remaining gateways.
std::vector<Trouble> troubles(const CapacityFile& file);

// One row of the table of control machines.
struct ControlPlace {
  std::string role;
  std::string machines;
  std::string where;
  std::string may_be_lost;
};

// The roles that run on the control machines, and how many of each may fail.
std::vector<ControlPlace> control_places(const CapacityFile& file);

// How the clients of gateways that fail together are spread over the remaining gateways.
struct MovedClients {
  double gateways_lost = 0;
  double survivors = 0;
  double connections_moved = 0;
  double connections_per_survivor = 0;    // moved connections that each survivor accepts
  double connects_per_second = 0;         // at each survivor, over the clients' reconnect spread
  double commands_per_second_before = 0;  // at each survivor
  double commands_per_second_after = 0;
};

// `gateways_lost`: gateways that fail at the same time.
MovedClients move_clients(const FleetSize& fleet, double gateways_lost);

// The placement of the replicas (`keepers`), which are assigned to the regions in turn, and so the most that
// a region that is cut off can have.
struct KeeperPlacement {
  double keepers = 0;
  double majority = 0;
  double may_be_lost = 0;
  double regions_with_keepers = 0;
  double most_in_one_region = 0;
};

KeeperPlacement place_keepers(const FleetSize& fleet);

}  // namespace firvalve::loadtest
