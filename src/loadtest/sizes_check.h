// Validates the requested sizes of a run, alone and against each other, before anything is started.
#pragma once

#include <string>

#include "loadtest/options.h"

namespace firvalve::loadtest {

// Upper limits for a measuring run on one machine.
constexpr int kMostGateways = 4096;
constexpr int kMostEngines = 4096;
constexpr int kMostConnections = 20000;  // client connections of one gateway
constexpr double kMostRate = 1e5;        // commands a second at one gateway
constexpr int kMostRegions = 64;
constexpr int kMostZones = 512;
constexpr int kMostLeases = 1000;
constexpr double kMostSeconds = 3600;

// Returns one line that names the invalid size; empty: all sizes are valid. `are_zones_given`: the number of
// zones was set explicitly and is not the default.
std::string size_fault(const ScaleOptions& options, bool are_zones_given);

}  // namespace firvalve::loadtest
