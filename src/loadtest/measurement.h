// A measurement of the scale run, as stored in docs/capacity.json: one quantity as a function of one size
// that was varied while all other sizes were fixed.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace firvalve::loadtest {

// One measured value.
struct Point {
  double size = 0;   // value of the varied size
  double value = 0;  // in the measurement's unit
};

// A series of points with the conditions under which it was measured.
struct Measurement {
  std::string name;                     // role and quantity: "gateway.cpu_per_command"
  std::string unit;                     // "us", "bytes/s", "messages/s", "MB", "count", "ms"
  std::string varied;                   // "engines", "gateways", "connections", ...
  std::map<std::string, double> fixed;  // the other sizes: {"zones": 20, "rate": 1364}
  std::vector<Point> points;            // ascending by size; the last, largest one is held out from the fit
  std::string command;                  // command line that repeats the measurement
  std::string date;                     // YYYY-MM-DD
  std::string machine;                  // cores and memory
  uint64_t seed = 0;
};

}  // namespace firvalve::loadtest
