// The parts of the scale run. Each starts what it needs on loopback, measures, and ends all it started.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "loadtest/measurement.h"
#include "loadtest/options.h"

namespace firvalve::loadtest {

// The run cannot go on: what() is one line that says why. Nothing measured so far is printed as if whole.
class ScaleError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Called for each point as it is reached, for a person at a terminal. Throws ScaleError after an interrupt.
using Progress = std::function<void(const std::string& line)>;

// A real gateway before scripted engines: processor time, memory, descriptors, start.
std::vector<Measurement> measure_gateway(const ScaleOptions& options, const Progress& progress);
// Simulated gateways: control traffic at rest, and changes of the engine list and the configuration.
std::vector<Measurement> measure_control(const ScaleOptions& options, const Progress& progress);
// Simulated gateways: a holder, a keeper, a rack, a zone lost; two regions cut apart and joined again.
std::vector<Measurement> measure_loss(const ScaleOptions& options, const Progress& progress);

}  // namespace firvalve::loadtest
