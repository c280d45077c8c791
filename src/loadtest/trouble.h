// The arithmetic of each trouble that the planned size names, and where the machines for control stand.
#pragma once

#include <string>
#include <vector>

#include "loadtest/capacity_file.h"

namespace firvalve::loadtest {

struct Trouble {
  std::string what;
  std::string how_often;
  std::string arithmetic;
};

std::vector<Trouble> troubles(const CapacityFile& file);

struct ControlPlace {
  std::string role;
  std::string machines;
  std::string where;
  std::string may_be_lost;
};

std::vector<ControlPlace> control_places(const CapacityFile& file);

// What becomes of the clients of gateways that are lost together.
struct MovedClients {
  double gateways_lost = 0;
  double survivors = 0;
  double connections_moved = 0;
  double connections_per_survivor = 0;    // that come to each
  double connects_per_second = 0;         // at each survivor, over the clients' spread
  double commands_per_second_before = 0;  // at each survivor
  double commands_per_second_after = 0;
};

MovedClients move_clients(const FleetSize& fleet, double gateways_lost);

// Where keepers stand, one region after the other: how many a cut-off group of regions has at most.
struct KeeperPlacement {
  double keepers = 0;
  double majority = 0;
  double may_be_lost = 0;
  double regions_with_keepers = 0;
  double most_in_one_region = 0;
};

KeeperPlacement place_keepers(const FleetSize& fleet);

}  // namespace firvalve::loadtest
