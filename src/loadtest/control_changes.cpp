// Measures changes of the engine list at simulated gateways, and changes of the configuration at real
// gateways.
#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <filesystem>
#include <memory>
#include <thread>

#include "fakes/fake_deployment.h"
#include "fakes/process.h"
#include "loadtest/control_series.h"

namespace firvalve::loadtest {
namespace {

constexpr Ms kSettleMost = 120000;
constexpr Ms kInForceMost = 30000;  // limit for one change; the design limit is 13 s
constexpr Ms kBetweenChanges = 250;
constexpr Ms kPollEvery = 1;
constexpr int kChanges = 20;  // changes of the engine list per size
constexpr int kChangesQuick = 4;
constexpr int kGatewaysHeld = 64;  // fixed number while engines vary
constexpr int kGatewaysHeldQuick = 16;
constexpr int kEnginesHeld = 50;  // fixed number while gateways vary
constexpr int kEnginesOfReal = 2;
// Difference between gateway seeds, so that they differ throughout their bits.
constexpr uint64_t kSeedStep = 0x9e3779b97f4a7c15;

void sleep_ms(Ms span) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(span)); }

// Returns the quantile by the nearest-rank method.
double quantile(std::vector<double> values, double part) {
  if (values.empty()) throw ScaleError("no times were measured");
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<size_t>(std::ceil(part * static_cast<double>(values.size())));
  return values[std::max<size_t>(rank, 1) - 1];
}

// Times from acceptance of a change until it is in force, at all gateways and over several changes.
struct InForce {
  std::vector<double> each;
  std::vector<double> last;  // time of the slowest gateway for each change
  void add(const std::vector<double>& of_change) {
    each.insert(each.end(), of_change.begin(), of_change.end());
    last.push_back(*std::max_element(of_change.begin(), of_change.end()));
  }
};

void add_times(Series& series, const std::string& name, double size, const InForce& times) {
  series.add(name + ".in_force_median", "ms", size, quantile(times.each, 0.5));
  series.add(name + ".in_force_99", "ms", size, quantile(times.each, 0.99));
  series.add(name + ".in_force_last", "ms", size, quantile(times.last, 1));
}

// Cost of one change of the engine list.
struct ListChange {
  InForce times;
  double bytes_per_gateway = 0;  // without the bus's line of each second
  double gateway_cpu_us = 0;     // beyond the cost of the same span without changes
  double bus_cpu_us = 0;         // the same, at the bus, for all gateways together
};

// Waits until all gateways have applied `updates` list updates, and returns the time since the bus accepted
// the last change for each gateway.
std::vector<double> wait_in_force(SimulatedFleet& fleet, uint64_t updates, Watch& watch) {
  const Ms began = read_report_clock();
  for (;;) {
    watch.sleep(kBetweenChanges);
    const SimulatedFleet::Snapshot now = fleet.snapshot();
    const bool all = std::all_of(now.gateways.begin(), now.gateways.end(),
                                 [&](const auto& gateway) { return gateway.list_updates == updates; });
    if (!all && read_report_clock() > began + kInForceMost)
      throw ScaleError(
          fmt::format("a change of the list is not in force at all of {} gateways after {:.0f} s",
                      fleet.size(), kInForceMost / 1000));
    if (!all) continue;
    std::vector<double> times;
    for (const SimulatedGatewayReport& gateway : now.gateways)
      times.push_back(gateway.list_updated_at - now.bus.accepted_at);
    return times;
  }
}

double gateways_cpu_us(const SimulatedFleet::Snapshot& snapshot) {
  double total = 0;
  for (const SimulatedGatewayReport& gateway : snapshot.gateways) total += gateway.cpu_us;
  return total;
}

// `change(i)` returns the listings of the i-th change. `updates` counts the announced changes.
template <class Change>
ListChange measure_list_change(SimulatedFleet& fleet, int changes, bool whole, uint64_t& updates,
                               Watch& watch, const Change& change) {
  ListChange out;
  for (int i = 0; i < changes; ++i) {
    fleet.announce(change(i), whole);
    out.times.add(wait_in_force(fleet, ++updates, watch));
  }
  // Costs are measured in a second pass without snapshots between the changes, which would add cost. The cost
  // of the same span without changes is subtracted.
  const Ms span = changes * kBetweenChanges;
  const SimulatedFleet::Snapshot begun = fleet.snapshot();
  watch.sleep(span);
  const SimulatedFleet::Snapshot rested = fleet.snapshot();
  const uint64_t lines_before = rested.bus.lines_out, bytes_before = rested.bus.bytes_out;
  for (int i = 0; i < changes; ++i) {
    fleet.announce(change(i), whole);
    ++updates;
    watch.sleep(kBetweenChanges);
  }
  const SimulatedFleet::Snapshot changed = fleet.snapshot();
  wait_in_force(fleet, updates, watch);
  const auto gateways = static_cast<double>(fleet.size());
  const double rest_part = (changed.at - rested.at) / (rested.at - begun.at);
  const double words =
      static_cast<double>(changed.bus.lines_out - lines_before) - static_cast<double>(changes) * gateways;
  const double word_bytes = static_cast<double>(rested.bus.bytes_out - begun.bus.bytes_out) /
                            std::max(1.0, static_cast<double>(rested.bus.lines_out - begun.bus.lines_out));
  const double change_bytes = static_cast<double>(changed.bus.bytes_out - bytes_before) - words * word_bytes;
  out.bytes_per_gateway = change_bytes / gateways / changes;
  const double rest_cpu = (gateways_cpu_us(rested) - gateways_cpu_us(begun)) * rest_part;
  out.gateway_cpu_us = (gateways_cpu_us(changed) - gateways_cpu_us(rested) - rest_cpu) / gateways / changes;
  const double bus_rest_cpu = (rested.bus.cpu_us - begun.bus.cpu_us) * rest_part;
  out.bus_cpu_us = (changed.bus.cpu_us - rested.bus.cpu_us - bus_rest_cpu) / changes;
  return out;
}

void add_change(Series& series, const std::string& name, double size, const ListChange& change) {
  add_times(series, name, size, change.times);
  series.add(name + ".bytes_per_gateway", "bytes", size, change.bytes_per_gateway);
  series.add(name + ".gateway_cpu", "us", size, change.gateway_cpu_us);
  series.add(name + ".bus_cpu", "us", size, change.bus_cpu_us);
}

// Returns the listing of one engine that alternates between draining and serving with each change.
std::string one_engine(int change) { return engine_listings(0, 1, change % 2 == 0 ? "DRAINING" : "SERVING"); }

SimulatedFleetOptions fleet_options(const ScaleOptions& options, int gateways, int engines) {
  SimulatedFleetOptions out;
  out.gateways = gateways;
  out.keepers = options.keepers;
  out.engines = engines;
  out.zones = std::min(options.zones, gateways);
  out.seed = options.seed;
  return out;
}

std::vector<Measurement> by_gateways(const ScaleOptions& options, const Progress& progress) {
  const int changes = options.quick ? kChangesQuick : kChanges;
  Series series(options, "gateways",
                {{"engines", kEnginesHeld}, {"keepers", options.keepers}, {"changes", changes}});
  for (const int gateways :
       sizes_of(options.gateways, options.quick, {32, 64, 128, 256, 512, 1100}, {8, 12, 16, 20, 24, 32})) {
    Watch watch(progress, fmt::format("a change of the engine list: {} gateways", gateways));
    SimulatedFleet fleet(fleet_options(options, gateways, kEnginesHeld));
    fleet.wait_settled(kSettleMost, [&] { watch.look(); });
    uint64_t updates = 0;
    add_change(series, "list_difference", gateways,
               measure_list_change(fleet, changes, false, updates, watch, one_engine));
  }
  return series.take();
}

std::vector<Measurement> by_engines(const ScaleOptions& options, const Progress& progress) {
  const int changes = options.quick ? kChangesQuick : kChanges;
  const int gateways = options.quick ? kGatewaysHeldQuick : kGatewaysHeld;
  Series series(options, "engines",
                {{"gateways", gateways}, {"keepers", options.keepers}, {"changes", changes}});
  for (const int engines :
       sizes_of(options.engines, options.quick, {50, 100, 200, 400, 800, 1100}, {10, 20, 30, 40, 50, 60})) {
    Watch watch(progress, fmt::format("a change of the engine list: {} engines", engines));
    SimulatedFleet fleet(fleet_options(options, gateways, engines));
    fleet.wait_settled(kSettleMost, [&] { watch.look(); });
    uint64_t updates = 0;
    add_change(series, "list_difference", engines,
               measure_list_change(fleet, changes, false, updates, watch, one_engine));
    add_change(series, "list_whole", engines,
               measure_list_change(fleet, changes, true, updates, watch, [&](int change) {
                 return one_engine(change) + "," + engine_listings(1, engines - 1);
               }));
  }
  return series.take();
}

// Real gateway processes, each with its own configuration file.
class RealGateways {
 public:
  RealGateways(int count, const std::string& bus_before, const std::string& bus_after)
      : before_(bus_before), after_(bus_after) {
    const std::string program = sibling_program("firvalve");
    if (!std::filesystem::exists(program)) throw ScaleError(program + ": no such program");
    for (const std::string& address : fakes::free_addresses(static_cast<size_t>(count))) {
      configs_.push_back(with_seed(engines_.config(address), configs_.size()));
      addresses_.push_back(address);
      processes_.push_back(std::make_unique<fakes::Process>(program, with_bus(configs_.back(), before_),
                                                            std::vector<std::string>{}, "/dev/null"));
    }
    for (const std::string& address : addresses_)
      if (!fakes::Process::listens(address)) throw ScaleError("a gateway does not come up at " + address);
  }
  void change_bus() {
    for (size_t i = 0; i < processes_.size(); ++i) {
      processes_[i]->rewrite(with_bus(configs_[i], after_));
      processes_[i]->signal(SIGHUP);
    }
  }

 private:
  std::string with_bus(std::string config, const std::string& bus) const {
    const std::string own = engines_.bus().address();
    config.replace(config.find(own), own.size(), bus);
    return config;
  }

  // Gives each gateway its own seed, from which it draws the delay before it connects to the new bus.
  static std::string with_seed(std::string config, size_t number) {
    constexpr std::string_view kField = R"("seed":")";
    const size_t at = config.find(kField) + kField.size();
    config.replace(at, config.find('"', at) - at, fmt::format("{:016x}", (number + 1) * kSeedStep));
    return config;
  }

  const std::string before_, after_;
  fakes::FakeDeployment engines_{kEnginesOfReal};
  std::vector<std::string> configs_, addresses_;
  std::vector<std::unique_ptr<fakes::Process>> processes_;
};

// Waits until `gateways` subscriptions have been requested at the bus.
void wait_followed(const fakes::FakeEventBus& bus, size_t gateways) {
  for (const Ms began = read_report_clock(); bus.asked_from().size() < gateways; sleep_ms(kPollEvery))
    if (read_report_clock() > began + kInForceMost)
      throw ScaleError(fmt::format("{} of {} gateways have come to the event bus within {:.0f} s",
                                   bus.asked_from().size(), gateways, kInForceMost / 1000));
}

// Returns, for each gateway, the time from the first file write until it subscribed to the new bus.
std::vector<double> measure_bus_change(int gateways) {
  fakes::FakeHost host;
  const fakes::FakeEventBus before(host), after(host);
  RealGateways processes(gateways, before.address(), after.address());
  wait_followed(before, static_cast<size_t>(gateways));
  const Ms written = read_report_clock();
  processes.change_bus();
  std::vector<double> times;
  while (times.size() < static_cast<size_t>(gateways)) {
    const size_t asked = after.asked_from().size();
    while (times.size() < asked) times.push_back(read_report_clock() - written);
    if (read_report_clock() > written + kInForceMost) wait_followed(after, static_cast<size_t>(gateways));
    sleep_ms(kPollEvery);
  }
  return times;
}

}  // namespace

std::vector<Measurement> measure_list_changes(const ScaleOptions& options, const Progress& progress) {
  std::vector<Measurement> all = by_gateways(options, progress);
  for (Measurement& one : by_engines(options, progress)) all.push_back(std::move(one));
  return all;
}

std::vector<Measurement> measure_configuration_changes(const ScaleOptions& options,
                                                       const Progress& progress) {
  Series series(options, "processes", {{"engines", kEnginesOfReal}});
  for (const int gateways : sizes_of({}, options.quick, {2, 4, 8, 16, 24, 48}, {1, 2, 3, 4, 5, 6})) {
    progress(fmt::format("a change of configuration: {} processes of the program", gateways));
    InForce times;
    times.add(measure_bus_change(gateways));
    add_times(series, "configuration", gateways, times);
  }
  return series.take();
}

}  // namespace firvalve::loadtest
