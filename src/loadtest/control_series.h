// The measurement series of the control part of the scale run. Each series varies one size.
#pragma once

#include <string>
#include <vector>

#include "loadtest/parts.h"
#include "loadtest/simulated_fleet.h"

namespace firvalve::loadtest {

// Returns the sizes of a series, ascending and without duplicates: `asked` if not empty, otherwise `small`
// for a quick run or `full`. The largest size is held out from the fit.
std::vector<int> sizes_of(const std::vector<int>& asked, bool quick, const std::vector<int>& full,
                          const std::vector<int>& small);

// Reports progress while a point is measured; the progress callback also checks for an interrupt.
class Watch {
 public:
  Watch(const Progress& progress, std::string point);
  void look();          // reports progress if the last report is at least 2 s old
  void sleep(Ms span);  // sleeps and reports progress meanwhile

 private:
  const Progress& progress_;
  const std::string point_;
  Ms began_ = 0, told_at_ = 0;
};

// Collects the measurements of one series point by point.
class Series {
 public:
  Series(const ScaleOptions& options, std::string varied, std::map<std::string, double> fixed);
  void add(const std::string& name, const std::string& unit, double size, double value);
  std::vector<Measurement> take() { return std::move(measurements_); }

 private:
  const Measurement common_;
  std::vector<Measurement> measurements_;
};

// Measures the control cost of each role while nothing changes, by number of gateways, leases and acceptors.
std::vector<Measurement> measure_rest(const ScaleOptions& options, const Progress& progress);
// Starts all gateways of a cluster at once and measures the time until every lease has a holder.
std::vector<Measurement> measure_cold_start(const ScaleOptions& options, const Progress& progress);
// Measures changes of the engine list, from acceptance by the bus until in force, by number of gateways and
// of engines.
std::vector<Measurement> measure_list_changes(const ScaleOptions& options, const Progress& progress);
// Measures changes of the configuration at real gateway processes: each gets a new file and SIGHUP.
std::vector<Measurement> measure_configuration_changes(const ScaleOptions& options, const Progress& progress);

}  // namespace firvalve::loadtest
