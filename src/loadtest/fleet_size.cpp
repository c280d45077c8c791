// Scaling, lookup and validation of the planned cluster size.
#include "loadtest/fleet_size.h"

#include <fmt/format.h>

namespace firvalve::loadtest {

FleetSize FleetSize::with_gateways(double gateways) const {
  FleetSize out = *this;
  const double factor = gateways / planned.gateways;
  out.planned.gateways = gateways;
  out.planned.engines *= factor;
  out.planned.client_connections *= factor;
  out.planned.commands_per_second *= factor;
  return out;
}

std::optional<double> size_by_name(const FleetSize& fleet, std::string_view name) {
  if (name == "gateways" || name == "processes") return fleet.planned.gateways;
  if (name == "engines") return fleet.planned.engines;
  if (name == "regions") return fleet.planned.regions;
  if (name == "zones") return fleet.planned.zones;
  if (name == "connections" || name == "clients") return fleet.connections_per_gateway();
  if (name == "rate") return fleet.commands_per_gateway();
  if (name == "keepers") return fleet.assumed.keepers;
  if (name == "duties") return fleet.assumed.leases;
  if (name == "commands in hand") return fleet.assumed.commands_in_hand;
  return std::nullopt;
}

std::string contradiction(const FleetSize& fleet) {
  for (const auto& [name, field] : kPlannedFields)
    if (!(fleet.planned.*field > 0)) return fmt::format("{} must be more than zero", name);
  for (const auto& [name, field] : kAssumedFields)
    if (!(fleet.assumed.*field > 0)) return fmt::format("{} must be more than zero", name);
  const auto more = [](const char* many, double count, const char* few, double bound) {
    return fmt::format("{} {} are more than {} {}", count, many, bound, few);
  };
  const PlannedSize& planned = fleet.planned;
  if (planned.zones > planned.gateways) return more("zones", planned.zones, "gateways", planned.gateways);
  if (planned.zones > planned.engines) return more("zones", planned.zones, "engines", planned.engines);
  if (planned.regions > planned.zones) return more("regions", planned.regions, "zones", planned.zones);
  if (fleet.assumed.keepers > planned.gateways)
    return more("keepers", fleet.assumed.keepers, "gateways", planned.gateways);
  return {};
}

}  // namespace firvalve::loadtest
