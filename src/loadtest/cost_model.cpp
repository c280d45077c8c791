// The tables of costs and checks of the cost model, and their evaluation for a cluster size.
#include "loadtest/cost_model.h"

#include <fmt/format.h>

#include <cmath>

namespace firvalve::loadtest {
namespace {

constexpr double kSearchStep = 1.01;       // ratio of successive cluster sizes that are tried
constexpr double kServedLeast = 0.9;       // share of commands that must be served in time on a calm day
constexpr double kMessagesPerCommand = 4;  // request and answer, on the client side and on the engine side
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMicrosecondsPerSecond = 1e6;

// Factors that convert a measured value to the figure of a cost or check. The texts are their formulas in the
// capacity page.
const Factor kOnce{"", [](const FleetSize&) { return 1.0; }};
const Factor kGateways{"gateways", [](const FleetSize& f) { return f.planned.gateways; }};
const Factor kKeepersAndBus{"keepers + 1 event bus",
                            [](const FleetSize& f) { return f.assumed.keepers + 1; }};
const Factor kClientConnections{"client connections / gateways",
                                [](const FleetSize& f) { return f.connections_per_gateway(); }};
const Factor kMessages{"4 messages x commands a second / gateways",
                       [](const FleetSize& f) { return kMessagesPerCommand * f.commands_per_gateway(); }};
const Factor kPercentOfMicroseconds{"100 / 1,000,000",
                                    [](const FleetSize&) { return 100 / kMicrosecondsPerSecond; }};
const Factor kCoresOfMicroseconds{"1 / 1,000,000",
                                  [](const FleetSize&) { return 1 / kMicrosecondsPerSecond; }};
const Factor kSecondsOfMilliseconds{"1 / 1,000", [](const FleetSize&) { return 1 / kMillisecondsPerSecond; }};
const Factor kLeaseCount{"duties", [](const FleetSize& f) { return f.assumed.leases; }};
const Factor kChanges{"changes a day / 86,400 s", [](const FleetSize& f) {
                        return f.planned.configuration_changes_per_day / kSecondsPerDay;
                      }};
const Factor kChangesToAll{"gateways x changes a day / 86,400 s", [](const FleetSize& f) {
                             return f.planned.gateways * f.planned.configuration_changes_per_day /
                                    kSecondsPerDay;
                           }};
const Factor kLeasesPerGateway{"duties / gateways",
                               [](const FleetSize& f) { return f.assumed.leases / f.planned.gateways; }};
const Factor kCorePercentOfLeases{
    "duties / gateways x 100 / 1,000,000",
    [](const FleetSize& f) { return f.assumed.leases / f.planned.gateways * 100 / kMicrosecondsPerSecond; }};
const Factor kCorePercentOfChanges{"changes a day / 86,400 s x 100 / 1,000,000", [](const FleetSize& f) {
                                     return f.planned.configuration_changes_per_day / kSecondsPerDay * 100 /
                                            kMicrosecondsPerSecond;
                                   }};
const Factor kCoresOfChanges{"changes a day / 86,400 s / 1,000,000", [](const FleetSize& f) {
                               return f.planned.configuration_changes_per_day / kSecondsPerDay /
                                      kMicrosecondsPerSecond;
                             }};
const Factor kGatewaysPerEngine{"gateways / engines",
                                [](const FleetSize& f) { return f.planned.gateways / f.planned.engines; }};
const Factor kCommandsPerEngine{"commands a second / engines", [](const FleetSize& f) {
                                  return f.planned.commands_per_second / f.planned.engines;
                                }};
const Factor kClientsOfAGateway{"client connections of a lost gateway / spread", [](const FleetSize& f) {
                                  return f.connections_per_gateway() / f.assumed.client_spread_s;
                                }};
const Factor kKeepersOfARegion{"keepers / regions, rounded up", [](const FleetSize& f) {
                                 return std::ceil(f.assumed.keepers / f.planned.regions);
                               }};
const Factor kKeepersAndSpares{"keepers, and 2 for the event bus",
                               [](const FleetSize& f) { return f.assumed.keepers + 2; }};
const Factor kZoneLost{"gateways / (gateways - those of a zone)", [](const FleetSize& f) {
                         return f.planned.gateways / (f.planned.gateways - f.gateways_per_zone());
                       }};

Term measured(const char* name, const char* varied, const Factor& factor = kOnce) {
  return {SeriesQuery{name, varied}, Part::kWhole, factor};
}
Term measured_in_one_zone(const char* name, const char* varied) {
  return {SeriesQuery{name, varied, 1}, Part::kWhole, kOnce};
}
Term growth(const char* name, const char* varied, const Factor& factor = kOnce) {
  return {SeriesQuery{name, varied}, Part::kGrowth, factor};
}
Term arithmetic(const Factor& factor) { return {std::nullopt, Part::kWhole, factor}; }

Limit at_most(double (*value)(const FleetSize&)) { return {Bound::kAtMost, value, false}; }
Limit at_most_assumed(double (*value)(const FleetSize&)) { return {Bound::kAtMost, value, true}; }
Limit at_least_assumed(double (*value)(const FleetSize&)) { return {Bound::kAtLeast, value, true}; }

// Texts that name the mechanism behind a figure and its package.
constexpr const char* kDecision = "the module's turn over all engines (src/policy)";
constexpr const char* kEngineConnections =
    "a connection kept to each engine until 2 s before its idle close (src/net/engine_connections)";
constexpr const char* kClientLinks = "one link and its buffers a client connection (src/net/client_server)";
constexpr const char* kLeases =
    "one lease renewed a duty, changes polled at keepers (src/lease, src/cluster)";
constexpr const char* kRegisters = "replicated registers, a majority of keepers a change (src/consensus)";
constexpr const char* kBusFollower =
    "the event bus followed by each gateway itself (src/net/endpoint_watcher)";
constexpr const char* kReload = "a file and SIGHUP a process: no version, no proof (src/gateway)";
constexpr const char* kClientReturn = "reconnects spread over `spread_ms` (src/client)";
constexpr const char* kNone = "none yet";

Quantity gateway_memory() {
  return {measured("gateway.memory", "engines"), growth("gateway.memory", "connections"),
          growth("gateway.memory", "commands in hand")};
}
Quantity control_memory() {
  return {growth("gateway.memory", "engines"), measured("gateway.control.hollow_memory", "gateways")};
}
// Messages per second without any change, including the gateway's share of the leases.
Quantity control_messages() {
  return {measured("gateway.control.messages", "gateways"),
          measured("holder.control_per_duty.messages", "gateways", kLeasesPerGateway)};
}
Quantity control_bytes_at_rest() {
  return {measured("gateway.control.bytes_in", "gateways"), measured("gateway.control.bytes_out", "gateways"),
          measured("holder.control_per_duty.bytes_in", "gateways", kLeasesPerGateway),
          measured("holder.control_per_duty.bytes_out", "gateways", kLeasesPerGateway)};
}
Quantity control_bytes(const char* change_bytes) {
  Quantity out = control_bytes_at_rest();
  out.push_back(measured(change_bytes, "engines", kChanges));
  return out;
}
Quantity control_core_percent() {
  return {measured("gateway.control.cpu", "gateways", kPercentOfMicroseconds),
          measured("holder.control_per_duty.cpu", "gateways", kCorePercentOfLeases),
          measured("list_difference.gateway_cpu", "engines", kCorePercentOfChanges)};
}
Quantity bus_cores() {
  return {measured("bus.control.cpu", "gateways", kCoresOfMicroseconds),
          measured("list_difference.bus_cpu", "gateways", kCoresOfChanges)};
}
Quantity seconds_of(const char* series, const char* varied = "gateways") {
  return {measured(series, varied, kSecondsOfMilliseconds)};
}
Quantity gateway_descriptors() {
  return {measured("gateway.engine_connections", "engines"), arithmetic(kClientConnections),
          arithmetic(kKeepersAndBus)};
}

std::vector<Cost> make_costs() {
  const char* const one_attempt = "one attempt a command";
  return {
      {Role::kGatewayData,
       Resource::kState,
       "connections to engines",
       "",
       {measured("gateway.engine_connections", "engines")},
       kEngineConnections,
       ""},
      {Role::kGatewayData,
       Resource::kState,
       "client connections",
       "",
       {arithmetic(kClientConnections)},
       kClientLinks,
       "spread evenly over gateways"},
      {Role::kGatewayData,
       Resource::kMessages,
       "messages a second",
       "",
       {arithmetic(kMessages)},
       "JSON-RPC and HTTP (src/proto)",
       one_attempt},
      {Role::kGatewayData,
       Resource::kProcessor,
       "cores",
       "",
       {measured("gateway.core_share", "engines")},
       kDecision,
       ""},
      {Role::kGatewayData, Resource::kMemory, "resident", "MB", gateway_memory(), kClientLinks,
       "kernel socket buffers are not counted"},
      {Role::kGatewayControl,
       Resource::kState,
       "links",
       "",
       {arithmetic(kKeepersAndBus)},
       kLeases,
       "keepers"},
      {Role::kGatewayControl, Resource::kMessages, "messages a second", "", control_messages(), kLeases,
       "duties"},
      {Role::kGatewayControl, Resource::kMessages, "bytes a second, changes of the list among them", "",
       control_bytes("list_difference.bytes_per_gateway"), kBusFollower, "each change is one of the list"},
      {Role::kGatewayControl, Resource::kProcessor, "in 100 of a core", "", control_core_percent(), kLeases,
       "duties"},
      {Role::kGatewayControl, Resource::kMemory, "resident", "MB", control_memory(), kBusFollower, ""},
      {Role::kKeeper, Resource::kState, "links", "", {arithmetic(kGateways)}, kRegisters, ""},
      {Role::kKeeper,
       Resource::kState,
       "registers",
       "",
       {arithmetic(kLeaseCount)},
       kRegisters,
       "no named loads and no bulletins"},
      {Role::kKeeper,
       Resource::kMessages,
       "messages a second",
       "",
       {measured("keeper.control_busiest.messages", "gateways")},
       kRegisters,
       "duties"},
      {Role::kKeeper,
       Resource::kMessages,
       "bytes a second",
       "",
       {measured("keeper.control_busiest.bytes_in", "gateways"),
        measured("keeper.control_busiest.bytes_out", "gateways")},
       kRegisters,
       "duties"},
      {Role::kKeeper,
       Resource::kProcessor,
       "cores",
       "",
       {measured("keeper.control_busiest.cpu", "gateways", kCoresOfMicroseconds)},
       kRegisters,
       "duties"},
      {Role::kKeeper, Resource::kMemory, "resident", "MB", {}, kRegisters, ""},
      {Role::kDistribution,
       Resource::kState,
       "versions in force that anyone can tell: none is kept",
       "",
       {},
       kReload,
       ""},
      {Role::kDistribution,
       Resource::kMessages,
       "changes handed out a second, over all gateways",
       "",
       {arithmetic(kChangesToAll)},
       kReload,
       "changes evenly over the day"},
      {Role::kDistribution,
       Resource::kMessages,
       "bytes a second for changes of the list, over all gateways",
       "",
       {measured("list_difference.bytes_per_gateway", "engines", kChangesToAll)},
       kBusFollower,
       "each change is one of the list"},
      {Role::kDistribution, Resource::kProcessor, "cores", "", {}, kNone, ""},
      {Role::kDistribution, Resource::kMemory, "resident", "MB", {}, kNone, ""},
      {Role::kEventBus, Resource::kState, "connections", "", {arithmetic(kGateways)}, kBusFollower, ""},
      {Role::kEventBus,
       Resource::kMessages,
       "messages a second",
       "",
       {measured("bus.control.messages", "gateways")},
       kBusFollower,
       "the bus is a fake"},
      {Role::kEventBus,
       Resource::kMessages,
       "bytes a second",
       "",
       {measured("bus.control.bytes_out", "gateways"),
        measured("list_difference.bytes_per_gateway", "engines", kChangesToAll)},
       kBusFollower,
       "the bus is a fake"},
      {Role::kEventBus, Resource::kProcessor, "cores", "", bus_cores(), kBusFollower, "the bus is a fake"},
      {Role::kEventBus, Resource::kMemory, "resident", "MB", {}, kBusFollower, "the bus is a fake"},
      {Role::kEngine,
       Resource::kState,
       "connections from gateways",
       "",
       {measured("gateway.engine_connections", "engines", kGatewaysPerEngine)},
       kEngineConnections,
       ""},
      {Role::kEngine,
       Resource::kMessages,
       "commands a second",
       "",
       {arithmetic(kCommandsPerEngine)},
       kDecision,
       one_attempt},
      {Role::kEngine, Resource::kProcessor, "cores", "", {}, kEngineConnections, ""},
      {Role::kEngine, Resource::kMemory, "resident", "MB", {}, kEngineConnections, ""},
      {Role::kClientLibrary,
       Resource::kState,
       "connections a client",
       "",
       {arithmetic(kOnce)},
       kClientReturn,
       "a client keeps one"},
      {Role::kClientLibrary,
       Resource::kMessages,
       "connects a second after a lost gateway, over all others",
       "",
       {arithmetic(kClientsOfAGateway)},
       kClientReturn,
       "evenly over the spread"},
      {Role::kClientLibrary,
       Resource::kMessages,
       "peak of connects a second after a lost gateway, over all others",
       "",
       {measured("loss.clients.peak_connects", "clients")},
       kClientReturn,
       "a gateway's clients are alike"},
      {Role::kClientLibrary, Resource::kProcessor, "cores", "", {}, kClientReturn, ""},
      {Role::kClientLibrary, Resource::kMemory, "resident", "MB", {}, kClientReturn, ""},
  };
}

std::vector<Check> make_checks() {
  const auto descriptors = [](const FleetSize& f) { return f.assumed.descriptors_per_process; };
  const auto gateway_cores = [](const FleetSize& f) { return f.assumed.gateway_cores; };
  const auto primary_change = [](const FleetSize& f) { return f.planned.primary_change_within_s; };
  const auto configuration_change = [](const FleetSize& f) {
    return f.planned.configuration_change_within_s;
  };
  const char* const scale_run = "a scale run with this series";
  return {
      {PlannedLine::kMachines,
       "served in time on a calm day, as a share (simulated engines)",
       "",
       {measured("collapse.served", "gateways")},
       at_least_assumed([](const FleetSize&) { return kServedLeast; }),
       "what gateways have out at engines, and what they leave there (src/policy, "
       "src/net/engine_connections)",
       Owner::kProgram,
       "the bench's calm day at this size"},
      {PlannedLine::kMachines,
       "connections at an engine",
       "",
       {measured("gateway.engine_connections", "engines", kGatewaysPerEngine)},
       at_most_assumed([](const FleetSize& f) { return f.assumed.connections_per_engine; }),
       kEngineConnections,
       Owner::kProgram,
       scale_run},
      {PlannedLine::kMachines, "descriptors at a gateway", "", gateway_descriptors(),
       at_most_assumed(descriptors), kEngineConnections, Owner::kProgram, scale_run},
      {PlannedLine::kPlaces,
       "keepers that go with one region",
       "",
       {arithmetic(kKeepersOfARegion)},
       at_most([](const FleetSize& f) { return std::floor((f.assumed.keepers - 1) / 2); }),
       kRegisters,
       Owner::kProgram,
       ""},
      {PlannedLine::kConnections, "resident memory of a gateway", "MB", gateway_memory(),
       at_most_assumed([](const FleetSize& f) { return f.assumed.gateway_memory_mb; }), kClientLinks,
       Owner::kProgram, scale_run},
      {PlannedLine::kCommands,
       "cores of a gateway",
       "",
       {measured("gateway.core_share", "engines")},
       at_most_assumed(gateway_cores),
       kDecision,
       Owner::kProgram,
       scale_run},
      {PlannedLine::kCommands,
       "cores of a gateway, all engines in one zone",
       "",
       {measured_in_one_zone("gateway.core_share", "engines")},
       at_most_assumed(gateway_cores),
       kDecision,
       Owner::kProgram,
       scale_run},
      {PlannedLine::kPrimaryChanges, "a duty's holder lost: until served as before", "s",
       seconds_of("loss.holder.recovery"), at_most(primary_change), kLeases, Owner::kProgram, scale_run},
      {PlannedLine::kPrimaryChanges, "a keeper lost: until served as before", "s",
       seconds_of("loss.keeper.recovery"), at_most(primary_change), kRegisters, Owner::kProgram, scale_run},
      {PlannedLine::kPrimaryChanges,
       "an engine lost that never-twice work is bound to",
       "s",
       {},
       at_most(primary_change),
       "the list of engines (src/net/endpoint_watcher)",
       Owner::kProgram,
       "a real fleet whose engine is killed with such work bound to it"},
      {PlannedLine::kConfigurationChanges, "a change of the engine list: in force at the last gateway", "s",
       seconds_of("list_difference.in_force_last"), at_most(configuration_change), kBusFollower,
       Owner::kProgram, scale_run},
      {PlannedLine::kConfigurationChanges, "a change of configuration: in force at the last gateway", "s",
       seconds_of("configuration.in_force_last", "processes"), at_most(configuration_change), kReload,
       Owner::kProgram, "something that hands it out, and tells of each gateway which version is in force"},
      {PlannedLine::kControlMeans, "control, of a core", "in 100", control_core_percent(),
       at_most([](const FleetSize& f) { return f.planned.control_core_percent; }), kLeases, Owner::kProgram,
       scale_run},
      {PlannedLine::kControlMeans, "control, memory", "MB", control_memory(),
       at_most([](const FleetSize& f) { return f.planned.control_memory_mb; }), kBusFollower, Owner::kProgram,
       scale_run},
      {PlannedLine::kControlMeans,
       "control, bytes a second, at rest and for changes of the list as differences", "",
       control_bytes("list_difference.bytes_per_gateway"),
       at_most([](const FleetSize& f) { return f.planned.control_bytes_per_second; }), kLeases,
       Owner::kProgram, scale_run},
      {PlannedLine::kControlMeans, "control, bytes a second, with each change told as a whole list", "",
       control_bytes("list_whole.bytes_per_gateway"),
       at_most([](const FleetSize& f) { return f.planned.control_bytes_per_second; }), kBusFollower,
       Owner::kOperators, scale_run},
      {PlannedLine::kControlMachines,
       "machines for keepers and the event bus",
       "",
       {arithmetic(kKeepersAndSpares)},
       at_most([](const FleetSize& f) { return f.planned.control_machines; }),
       kRegisters,
       Owner::kProgram,
       ""},
      {PlannedLine::kControlMachines,
       "cores of a keeper",
       "",
       {measured("keeper.control_busiest.cpu", "gateways", kCoresOfMicroseconds)},
       at_most_assumed([](const FleetSize& f) { return f.assumed.keeper_cores; }),
       kRegisters,
       Owner::kProgram,
       scale_run},
      {PlannedLine::kControlMachines,
       "links of a keeper",
       "",
       {arithmetic(kGateways)},
       at_most_assumed(descriptors),
       kRegisters,
       Owner::kProgram,
       ""},
      {PlannedLine::kControlMachines, "cores of the event bus (a fake)", "", bus_cores(),
       at_most_assumed([](const FleetSize& f) { return f.assumed.bus_cores; }), kBusFollower,
       Owner::kOperators, scale_run},
      {PlannedLine::kFailures,
       "cores of a gateway that took its part of a lost zone's clients",
       "",
       {measured("gateway.core_share", "engines", kZoneLost)},
       at_most_assumed(gateway_cores),
       kDecision,
       Owner::kProgram,
       scale_run},
      {PlannedLine::kFailures, "a zone lost: duties served as before", "s", seconds_of("loss.zone.recovery"),
       at_most(primary_change), kLeases, Owner::kProgram, scale_run},
      {PlannedLine::kFailures, "a rack lost: duties served as before", "s", seconds_of("loss.rack.recovery"),
       at_most(primary_change), kLeases, Owner::kProgram, scale_run},
      {PlannedLine::kFailures, "regions cut apart: duties served as before", "s",
       seconds_of("loss.split.recovery"), at_most(primary_change), kLeases, Owner::kProgram, scale_run},
      {PlannedLine::kFailures, "regions joined again: duties served as before", "s",
       seconds_of("loss.split.return.recovery"), at_most(primary_change), kLeases, Owner::kProgram,
       scale_run},
  };
}

}  // namespace

const std::vector<Cost>& role_costs() {
  static const std::vector<Cost> costs = make_costs();
  return costs;
}

const std::vector<Check>& planned_checks() {
  static const std::vector<Check> checks = make_checks();
  return checks;
}

std::string_view role_name(Role role) {
  switch (role) {
    case Role::kGatewayData:
      return "gateway, data path";
    case Role::kGatewayControl:
      return "gateway, control path";
    case Role::kKeeper:
      return "keeper";
    case Role::kDistribution:
      return "hands out configuration and the engine list";
    case Role::kEventBus:
      return "event bus";
    case Role::kEngine:
      return "engine, as we burden it";
    case Role::kClientLibrary:
      return "client library";
  }
  return "";
}

std::string_view resource_name(Resource resource) {
  switch (resource) {
    case Resource::kState:
      return "state";
    case Resource::kMessages:
      return "messages";
    case Resource::kProcessor:
      return "processor";
    case Resource::kMemory:
      return "memory";
  }
  return "";
}

std::string_view owner_name(Owner owner) {
  return owner == Owner::kProgram ? "this program" : "the operators";
}

std::string planned_line_text(PlannedLine line, const PlannedSize& planned) {
  const auto number = [](double value) { return number_text(value); };
  switch (line) {
    case PlannedLine::kMachines:
      return fmt::format("{} gateways before {} engines", number(planned.gateways), number(planned.engines));
    case PlannedLine::kPlaces:
      return fmt::format("{} regions with {} zones", number(planned.regions), number(planned.zones));
    case PlannedLine::kConnections:
      return fmt::format("{} client connections", number(planned.client_connections));
    case PlannedLine::kCommands:
      return fmt::format("{} commands a second", number(planned.commands_per_second));
    case PlannedLine::kPrimaryChanges:
      return fmt::format("{} changes of primary a day, each within {} s",
                         number(planned.primary_changes_per_day), number(planned.primary_change_within_s));
    case PlannedLine::kConfigurationChanges:
      return fmt::format("{} changes of configuration a day, each within {} s",
                         number(planned.configuration_changes_per_day),
                         number(planned.configuration_change_within_s));
    case PlannedLine::kControlMeans:
      return fmt::format("control: {} in 100 of a core, {} MB, {} bytes a second",
                         number(planned.control_core_percent), number(planned.control_memory_mb),
                         number(planned.control_bytes_per_second));
    case PlannedLine::kControlMachines:
      return fmt::format("{} machines for control", number(planned.control_machines));
    case PlannedLine::kFailures:
      return fmt::format("{} machines fail a day, {} are replaced; racks, zones and links between regions go",
                         number(planned.machines_failing_per_day), number(planned.machines_replaced_per_day));
  }
  return "";
}

Verdict evaluate_check(const Check& check, const CapacityFile& file, const FleetSize& fleet) {
  Verdict out;
  out.evaluation = evaluate(check.quantity, file, fleet);
  out.limit = check.limit.value(fleet);
  const std::optional<double>& value = out.evaluation.value;
  if (!value) return out;
  out.is_kept = check.limit.bound == Bound::kAtMost ? *value <= out.limit : *value >= out.limit;
  return out;
}

BreakingSize breaking_size(const Check& check, const CapacityFile& file) {
  BreakingSize out;
  bool is_known_last = false;
  for (double gateways = kSmallestFleet; gateways <= kLargestFleet; gateways *= kSearchStep) {
    const Verdict verdict = evaluate_check(check, file, file.fleet.with_gateways(gateways));
    is_known_last = verdict.is_kept.has_value();
    if (!is_known_last) continue;
    out.gateways = gateways;
    out.kind = *verdict.is_kept ? BreakingSize::Kind::kBeyond : BreakingSize::Kind::kAt;
    if (!*verdict.is_kept) return out;
  }
  if (is_known_last) out.kind = BreakingSize::Kind::kNever;
  return out;
}

}  // namespace firvalve::loadtest
