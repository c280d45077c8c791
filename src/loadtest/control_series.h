// The series of the scale run's control part, each over one size.
#pragma once

#include <string>
#include <vector>

#include "loadtest/parts.h"
#include "loadtest/simulated_fleet.h"

namespace firvalve::loadtest {

// Sizes of a series: those that were asked for, or its own, the largest of them held out from the fit.
std::vector<int> sizes_of(const std::vector<int>& asked, bool quick, const std::vector<int>& full,
                          const std::vector<int>& small);

// Tells of a point that takes long, from time to time, so that an interrupt is noticed meanwhile.
class Watch {
 public:
  Watch(const Progress& progress, std::string point);
  void look();  // tells, where it has not done so for a while
  void sleep(Ms span);

 private:
  const Progress& progress_;
  const std::string point_;
  Ms began_ = 0, told_at_ = 0;
};

// Measurements of one series, filled point by point.
class Series {
 public:
  Series(const ScaleOptions& options, std::string varied, std::map<std::string, double> fixed);
  void add(const std::string& name, const std::string& unit, double size, double value);
  std::vector<Measurement> take() { return std::move(measurements_); }

 private:
  const Measurement common_;
  std::vector<Measurement> measurements_;
};

// What each role spends on control while nothing changes: by gateways, leases and keepers.
std::vector<Measurement> measure_rest(const ScaleOptions& options, const Progress& progress);
// A fleet whose gateways all start at once: until every lease has a holder.
std::vector<Measurement> measure_cold_start(const ScaleOptions& options, const Progress& progress);
// A change of the engine list, from its acceptance at the bus to in force: by gateways and by engines.
std::vector<Measurement> measure_list_changes(const ScaleOptions& options, const Progress& progress);
// A change of configuration at processes of the program itself: a file and a signal for each.
std::vector<Measurement> measure_configuration_changes(const ScaleOptions& options, const Progress& progress);

}  // namespace firvalve::loadtest
