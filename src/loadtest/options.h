// Options of `firvalve-loadtest scale`, shared by its parts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace firvalve::loadtest {

// Command line options of a scale run.
struct ScaleOptions {
  std::vector<std::string> parts;  // of "gateway", "control", "loss"; empty: all
  // Sizes to measure at; empty: each part's own series of at least six, the largest held out.
  std::vector<int> gateways, engines, connections;
  std::vector<double> rates;  // commands per second at one gateway
  int regions = 6, zones = 20;
  int keepers = 5, leases = 20;
  std::vector<std::string> losses;   // of "holder", "keeper", "rack", "zone", "region"; empty: all
  std::vector<std::string> changes;  // of "list", "configuration"; empty: all
  double seconds = 10;               // duration of the measurement of each point
  uint64_t seed = 1;
  std::string program;  // gateway executable; empty: `firvalve` in this program's directory
  std::string json;     // file to write the measurements to; empty: none
  bool quick = false;   // small sizes and short times, not usable for capacity planning
};

}  // namespace firvalve::loadtest
