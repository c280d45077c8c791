// Whether the sizes that a run was asked for can stand together, before anything is started.
#pragma once

#include <string>

#include "loadtest/options.h"

namespace firvalve::loadtest {

// The most that one machine is asked to bear in a measuring run.
constexpr int kMostGateways = 4096;
constexpr int kMostEngines = 4096;
constexpr int kMostConnections = 20000;  // client connections of one gateway
constexpr double kMostRate = 1e5;        // commands a second at one gateway
constexpr int kMostRegions = 64;
constexpr int kMostZones = 512;
constexpr int kMostLeases = 1000;
constexpr double kMostSeconds = 3600;

// One line that names the size at fault; empty: a run may begin. `are_zones_given`: zones were asked for and
// are not the default.
std::string size_fault(const ScaleOptions& options, bool are_zones_given);

}  // namespace firvalve::loadtest
