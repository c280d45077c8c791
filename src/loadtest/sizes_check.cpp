#include "loadtest/sizes_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace firvalve::loadtest {
namespace {

template <typename Number>
std::string series_fault(const char* option, const std::vector<Number>& sizes, Number most) {
  for (const Number size : sizes) {
    if (!(size > 0)) return fmt::format("{}: {} is not more than zero", option, size);
    if (size > most) return fmt::format("{}: {} is past what one machine measures, {}", option, size, most);
  }
  return {};
}

bool is_part_run(const ScaleOptions& options, const char* part) {
  return options.parts.empty() ||
         std::find(options.parts.begin(), options.parts.end(), part) != options.parts.end();
}

std::string more_than(const char* many, int count, const char* few, int bound) {
  return fmt::format("--{}: {} are more than {} {}", many, count, bound, few);
}

std::string need_fault(const ScaleOptions& options, bool are_zones_given) {
  if (options.regions > options.zones) return more_than("regions", options.regions, "zones", options.zones);
  if (options.gateways.empty()) return {};
  const int fewest = *std::min_element(options.gateways.begin(), options.gateways.end());
  const bool need_zones = are_zones_given || is_part_run(options, "loss");
  if (need_zones && options.zones > fewest) return more_than("zones", options.zones, "gateways", fewest);
  const bool need_keepers = is_part_run(options, "control") || is_part_run(options, "loss");
  if (need_keepers && options.keepers > fewest)
    return more_than("keepers", options.keepers, "gateways", fewest);
  return {};
}

}  // namespace

std::string size_fault(const ScaleOptions& options, bool are_zones_given) {
  const std::vector<std::string> faults = {
      series_fault("--gateways", options.gateways, kMostGateways),
      series_fault("--engines", options.engines, kMostEngines),
      series_fault("--connections", options.connections, kMostConnections),
      series_fault("--rate", options.rates, kMostRate),
      series_fault("--regions", std::vector{options.regions}, kMostRegions),
      series_fault("--zones", std::vector{options.zones}, kMostZones),
      series_fault("--seconds", std::vector{options.seconds}, kMostSeconds),
      options.leases < 0 ? fmt::format("--duties: {} is less than zero", options.leases) : "",
      options.leases > kMostLeases ? fmt::format("--duties: {} is past {}", options.leases, kMostLeases) : "",
      need_fault(options, are_zones_given),
  };
  const auto fault =
      std::find_if(faults.begin(), faults.end(), [](const std::string& f) { return !f.empty(); });
  return fault == faults.end() ? std::string() : *fault;
}

}  // namespace firvalve::loadtest
