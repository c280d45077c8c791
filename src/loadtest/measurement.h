// What the scale run measures, in the form in which docs/capacity.json keeps it: one quantity, by one size
// that was varied while all others were held.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace firvalve::loadtest {

struct Point {
  double size = 0;   // of what was varied
  double value = 0;  // in the measurement's unit
};

struct Measurement {
  std::string name;                     // role and quantity: "gateway.cpu_per_command"
  std::string unit;                     // "us", "bytes/s", "messages/s", "MB", "count", "ms"
  std::string varied;                   // "engines", "gateways", "connections", ...
  std::map<std::string, double> fixed;  // the other sizes: {"zones": 20, "rate": 1364}
  std::vector<Point> points;            // ascending by size; the last, largest one is held out from the fit
  std::string command;                  // that repeats it
  std::string date;                     // YYYY-MM-DD
  std::string machine;                  // cores and memory
  uint64_t seed = 0;
};

}  // namespace firvalve::loadtest
