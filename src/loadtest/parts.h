// The parts of the scale run. Each starts its processes on loopback, measures, and stops all that it started.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "loadtest/measurement.h"
#include "loadtest/options.h"

namespace firvalve::loadtest {

// Thrown when the run cannot continue. what() is one line with the reason. Partial measurements are not
// printed as a complete result.
class ScaleError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Called with a progress line for the user. Throws ScaleError after an interrupt.
using Progress = std::function<void(const std::string& line)>;

// Measures a real gateway with scripted engines: CPU time, memory, file descriptors, start time.
std::vector<Measurement> measure_gateway(const ScaleOptions& options, const Progress& progress);
// Measures simulated ("hollow") gateways: idle control traffic, and changes of the engine list and
// configuration.
std::vector<Measurement> measure_control(const ScaleOptions& options, const Progress& progress);
// Measures simulated gateways that lose a lease holder, an acceptor (`keeper`), a rack or a zone, and network
// partitions between regions that heal.
std::vector<Measurement> measure_loss(const ScaleOptions& options, const Progress& progress);

}  // namespace firvalve::loadtest
