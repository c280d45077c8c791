// Measures control traffic at rest, when only lease renewals happen, and the cold start of a cluster.
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "loadtest/control_series.h"

namespace firvalve::loadtest {
namespace {

constexpr Ms kSettleMost = 120000;
constexpr Ms kWarmUp = 3000;  // after the cluster has settled, so that late startup work has finished
constexpr int kEnginesListed = 50;
constexpr int kGatewaysHeld = 128;  // fixed number while another size varies
constexpr int kGatewaysHeldQuick = 32;

// Cost of one role per second.
struct Rate {
  double messages = 0;  // frames on the wire, in and out
  double bytes_in = 0, bytes_out = 0;
  double cpu_us = 0;
  Rate& operator+=(const Rate& other) {
    messages += other.messages;
    bytes_in += other.bytes_in;
    bytes_out += other.bytes_out;
    cpu_us += other.cpu_us;
    return *this;
  }
  Rate times(double factor) const {
    return {messages * factor, bytes_in * factor, bytes_out * factor, cpu_us * factor};
  }
};

// Control costs at rest, for one size.
struct RestSample {
  Rate follower;    // mean over gateways that hold no lease and are not acceptors
  Rate held_lease;  // cost per lease beyond a follower's; mean over leases not held by acceptors
  bool has_held_lease = false;
  Rate keeper;          // mean over acceptors
  Rate busiest_keeper;  // the acceptor that sends the most bytes
  Rate bus;
  double record_messages_per_gateway = 0;  // messages sent by all gateways / number of gateways
  double resident_mb = 0;                  // of all processes; the slope by gateways is the need of one
};

Rate rate_between(const SimulatedGatewayReport& before, const SimulatedGatewayReport& after, double seconds) {
  const auto per_second = [seconds](uint64_t from, uint64_t to) {
    return static_cast<double>(to - from) / seconds;
  };
  Rate rate;
  rate.messages = per_second(before.peers.frames_in, after.peers.frames_in) +
                  per_second(before.peers.frames_out, after.peers.frames_out);
  rate.bytes_in = per_second(before.peers.bytes_in, after.peers.bytes_in);
  rate.bytes_out = per_second(before.peers.bytes_out, after.peers.bytes_out);
  rate.cpu_us = (after.cpu_us - before.cpu_us) / seconds;
  return rate;
}

Rate bus_rate_between(const EventBusReport& before, const EventBusReport& after, double seconds) {
  Rate rate;
  rate.messages = static_cast<double>(after.lines_in + after.lines_out - before.lines_in - before.lines_out);
  rate.bytes_in = static_cast<double>(after.bytes_in - before.bytes_in);
  rate.bytes_out = static_cast<double>(after.bytes_out - before.bytes_out);
  rate.cpu_us = after.cpu_us - before.cpu_us;
  return rate.times(1 / seconds);
}

size_t count_held_leases(const SimulatedGatewayReport& report) {
  std::set<std::string> held;
  for (const LeaseEvent& event : report.lease_events) held.insert(event.lease);
  return held.size();
}

void check_nothing_changed(const SimulatedFleet::Snapshot& before, const SimulatedFleet::Snapshot& after) {
  for (size_t i = 0; i < after.gateways.size(); ++i)
    if (!after.gateways[i].is_up || after.gateways[i].links_lost != before.gateways[i].links_lost)
      throw ScaleError(
          "control at rest: links between gateways were lost meanwhile; is the machine too busy?");
}

RestSample sample_of(const SimulatedFleet& fleet, const SimulatedFleet::Snapshot& before,
                     const SimulatedFleet::Snapshot& after) {
  check_nothing_changed(before, after);
  const double seconds = (after.at - before.at) / 1000;
  const auto keepers = static_cast<size_t>(fleet.options().keepers);
  RestSample out;
  Rate holders;
  size_t followers = 0, holder_count = 0, held = 0;
  double record_messages = 0;
  for (size_t i = 0; i < after.gateways.size(); ++i) {
    const SimulatedGatewayReport& now = after.gateways[i];
    const Rate rate = rate_between(before.gateways[i], now, seconds);
    record_messages +=
        static_cast<double>(now.peers.messages_out - before.gateways[i].peers.messages_out) / seconds;
    if (i < keepers) {
      out.keeper += rate.times(1.0 / static_cast<double>(keepers));
      if (rate.bytes_out > out.busiest_keeper.bytes_out) out.busiest_keeper = rate;
    } else if (const size_t leases = count_held_leases(now); leases > 0) {
      holders += rate;
      ++holder_count;
      held += leases;
    } else {
      out.follower += rate;
      ++followers;
    }
  }
  if (followers == 0)
    throw ScaleError(fmt::format("{} leases at {} gateways: none is left that holds none",
                                 fleet.options().leases, after.gateways.size()));
  out.follower = out.follower.times(1.0 / static_cast<double>(followers));
  out.has_held_lease = held > 0;
  if (out.has_held_lease) {
    holders += out.follower.times(-static_cast<double>(holder_count));
    out.held_lease = holders.times(1.0 / static_cast<double>(held));
  }
  out.bus = bus_rate_between(before.bus, after.bus, seconds);
  const auto count = static_cast<double>(after.gateways.size());
  out.record_messages_per_gateway = record_messages / count;
  out.resident_mb = after.resident_mb;
  // Each gateway has an equal share of the bus traffic.
  out.follower.messages += out.bus.messages / count;
  out.follower.bytes_in += out.bus.bytes_out / count;
  out.follower.bytes_out += out.bus.bytes_in / count;
  return out;
}

RestSample measure_one(const SimulatedFleetOptions& options, Ms span, Watch& watch) {
  SimulatedFleet fleet(options);
  fleet.wait_settled(kSettleMost, [&] { watch.look(); });
  watch.sleep(kWarmUp);
  const SimulatedFleet::Snapshot before = fleet.snapshot();
  watch.sleep(span);
  return sample_of(fleet, before, fleet.snapshot());
}

void add_rate(Series& series, const std::string& role, double size, const Rate& rate) {
  series.add(role + ".messages", "messages/s", size, rate.messages);
  series.add(role + ".bytes_in", "bytes/s", size, rate.bytes_in);
  series.add(role + ".bytes_out", "bytes/s", size, rate.bytes_out);
  series.add(role + ".cpu", "us/s", size, rate.cpu_us);
}

void add_sample(Series& series, double size, const RestSample& sample) {
  add_rate(series, "gateway.control", size, sample.follower);
  if (sample.has_held_lease) add_rate(series, "holder.control_per_duty", size, sample.held_lease);
  add_rate(series, "keeper.control", size, sample.keeper);
  add_rate(series, "keeper.control_busiest", size, sample.busiest_keeper);
  add_rate(series, "bus.control", size, sample.bus);
  series.add("fleet.record_messages_per_gateway", "messages/s", size, sample.record_messages_per_gateway);
  series.add("fleet.hollow_memory", "MB", size, sample.resident_mb);
}

SimulatedFleetOptions fleet_options(const ScaleOptions& options, int gateways, int leases, int keepers) {
  SimulatedFleetOptions out;
  out.gateways = gateways;
  out.leases = leases;
  out.keepers = keepers;
  out.engines = kEnginesListed;
  out.zones = std::min(options.zones, gateways);
  out.seed = options.seed;
  return out;
}

// Starts all gateways at once, so that every gateway claims every lease before any lease has a holder.
void add_cold_start(Series& series, SimulatedFleetOptions options, Watch& watch) {
  options.staged_start = false;
  SimulatedFleet fleet(options);
  const Ms started = read_report_clock();
  fleet.wait_settled(kSettleMost, [&] { watch.look(); });
  const SimulatedFleet::Snapshot settled = fleet.snapshot();
  uint64_t messages = 0, links_lost = 0;
  for (const SimulatedGatewayReport& gateway : settled.gateways) {
    messages = std::max(messages, gateway.peers.messages_in);
    links_lost += gateway.links_lost;
  }
  series.add("cold_start.until_held", "ms", options.gateways, settled.at - started);
  series.add("cold_start.keeper_messages_in", "count", options.gateways, static_cast<double>(messages));
  series.add("cold_start.links_lost", "count", options.gateways, static_cast<double>(links_lost));
}

}  // namespace

std::vector<Measurement> measure_cold_start(const ScaleOptions& options, const Progress& progress) {
  Series series(options, "gateways",
                {{"duties", options.leases}, {"keepers", options.keepers}, {"engines", kEnginesListed}});
  for (const int gateways :
       sizes_of(options.gateways, options.quick, {32, 64, 128, 192, 256, 384}, {8, 12, 16, 20, 24, 32})) {
    Watch watch(progress, fmt::format("a cold start: {} gateways", gateways));
    add_cold_start(series, fleet_options(options, gateways, options.leases, options.keepers), watch);
  }
  return series.take();
}

std::vector<Measurement> measure_rest(const ScaleOptions& options, const Progress& progress) {
  const Ms span = options.seconds * 1000;
  const int held = options.quick ? kGatewaysHeldQuick : kGatewaysHeld;
  std::vector<Measurement> all;
  const auto run = [&](const std::string& varied, const std::vector<int>& sizes,
                       std::map<std::string, double> fixed, const auto& options_of) {
    fixed["engines"] = kEnginesListed;
    Series series(options, varied, std::move(fixed));
    for (const int size : sizes) {
      Watch watch(progress, fmt::format("control at rest: {} {}", size, varied));
      add_sample(series, size, measure_one(options_of(size), span, watch));
    }
    for (Measurement& one : series.take()) all.push_back(std::move(one));
  };
  const double leases = options.leases, keepers = options.keepers, gateways = held;
  run("gateways",
      sizes_of(options.gateways, options.quick, {32, 64, 128, 256, 512, 1100}, {24, 28, 32, 40, 48, 64}),
      {{"duties", leases}, {"keepers", keepers}},
      [&](int size) { return fleet_options(options, size, options.leases, options.keepers); });
  run("duties", sizes_of({}, options.quick, {0, 5, 10, 20, 40, 80}, {0, 2, 4, 6, 8, 12}),
      {{"gateways", gateways}, {"keepers", keepers}},
      [&](int size) { return fleet_options(options, held, size, options.keepers); });
  // A cluster can have only 3, 5 or 7 acceptors.
  run("keepers", {3, 5, 7}, {{"gateways", gateways}, {"duties", leases}},
      [&](int size) { return fleet_options(options, held, options.leases, size); });
  return all;
}

}  // namespace firvalve::loadtest
