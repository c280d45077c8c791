// The cluster size to plan for: the required sizes, and the assumptions made where none was specified.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace firvalve::loadtest {

constexpr double kSecondsPerDay = 86400;
constexpr double kBytesPerMegabyte = 1e6;

// The required sizes: totals over the whole cluster unless the comment or name says otherwise.
struct PlannedSize {
  double gateways = 1100;
  double engines = 1100;
  double regions = 6;
  double zones = 20;  // over all regions
  double client_connections = 6.5e6;
  double commands_per_second = 1.5e6;
  double primary_changes_per_day = 2;
  double primary_change_within_s = 11;
  double configuration_changes_per_day = 3600;
  double configuration_change_within_s = 13;
  double control_core_percent = 1.1;       // of one core, per gateway
  double control_memory_mb = 32;           // per gateway
  double control_bytes_per_second = 2000;  // per gateway
  double control_machines = 12;
  double machines_failing_per_day = 9;
  double machines_replaced_per_day = 220;
  double racks_lost_per_year = 8;    // "every month or two"
  double zones_lost_per_year = 1.5;  // "once or twice a year"
  double region_cuts_per_year = 4;   // "several times a year"
};

// Sizes that no requirement specifies. They are chosen for the arithmetic and marked as assumed in the
// capacity page.
struct AssumedSize {
  double keepers = 5;  // acceptors of the replicated registers
  double leases = 20;
  double commands_in_hand = 40;  // commands in flight at one gateway: its rate times 30 ms
  double racks_per_zone = 10;
  double descriptors_per_process = 65536;  // the limit that a gateway or acceptor is started with
  double connections_per_engine = 800;     // size of an engine's connection table: 8 cores, 100 each
  double gateway_cores = 1;                // a gateway makes its decisions on one thread
  double gateway_memory_mb = 1024;         // resident, at one gateway
  double keeper_cores = 1;
  double bus_cores = 1;
  double client_spread_s = 4;  // over which clients of a lost gateway reconnect: `spread_ms`
};

// The planned and assumed sizes together, with the averages per gateway and zone.
struct FleetSize {
  PlannedSize planned;
  AssumedSize assumed;

  double connections_per_gateway() const { return planned.client_connections / planned.gateways; }
  double commands_per_gateway() const { return planned.commands_per_second / planned.gateways; }
  double gateways_per_zone() const { return planned.gateways / planned.zones; }

  // Returns the cluster scaled to `gateways`: the client connections, commands and engines per gateway stay
  // the same.
  FleetSize with_gateways(double gateways) const;
};

// Returns the size that a measurement calls `name`, as its varied or fixed size ("gateways", "engines";
// "connections" and "rate" are per gateway). std::nullopt if there is no such size.
std::optional<double> size_by_name(const FleetSize& fleet, std::string_view name);

// Returns a message on the first size that is not positive or contradicts another one; empty if the sizes are
// consistent.
std::string contradiction(const FleetSize& fleet);

// A field and its name in the capacity file.
template <typename Sizes>
struct SizeField {
  const char* name;
  double Sizes::*field;
};

constexpr std::array<SizeField<PlannedSize>, 19> kPlannedFields = {{
    {"gateways", &PlannedSize::gateways},
    {"engines", &PlannedSize::engines},
    {"regions", &PlannedSize::regions},
    {"zones", &PlannedSize::zones},
    {"client_connections", &PlannedSize::client_connections},
    {"commands_per_second", &PlannedSize::commands_per_second},
    {"primary_changes_per_day", &PlannedSize::primary_changes_per_day},
    {"primary_change_within_s", &PlannedSize::primary_change_within_s},
    {"configuration_changes_per_day", &PlannedSize::configuration_changes_per_day},
    {"configuration_change_within_s", &PlannedSize::configuration_change_within_s},
    {"control_core_percent", &PlannedSize::control_core_percent},
    {"control_memory_mb", &PlannedSize::control_memory_mb},
    {"control_bytes_per_second", &PlannedSize::control_bytes_per_second},
    {"control_machines", &PlannedSize::control_machines},
    {"machines_failing_per_day", &PlannedSize::machines_failing_per_day},
    {"machines_replaced_per_day", &PlannedSize::machines_replaced_per_day},
    {"racks_lost_per_year", &PlannedSize::racks_lost_per_year},
    {"zones_lost_per_year", &PlannedSize::zones_lost_per_year},
    {"region_cuts_per_year", &PlannedSize::region_cuts_per_year},
}};

constexpr std::array<SizeField<AssumedSize>, 11> kAssumedFields = {{
    {"keepers", &AssumedSize::keepers},
    {"duties", &AssumedSize::leases},
    {"commands_in_hand", &AssumedSize::commands_in_hand},
    {"racks_per_zone", &AssumedSize::racks_per_zone},
    {"descriptors_per_process", &AssumedSize::descriptors_per_process},
    {"connections_per_engine", &AssumedSize::connections_per_engine},
    {"gateway_cores", &AssumedSize::gateway_cores},
    {"gateway_memory_mb", &AssumedSize::gateway_memory_mb},
    {"keeper_cores", &AssumedSize::keeper_cores},
    {"bus_cores", &AssumedSize::bus_cores},
    {"client_spread_s", &AssumedSize::client_spread_s},
}};

}  // namespace firvalve::loadtest
