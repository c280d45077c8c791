#include "loadtest/simulated_fleet.h"

#include <fmt/format.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <map>

#include "fakes/fake_event_bus.h"

namespace firvalve::loadtest {
namespace {

constexpr int kProcessesMost = 290;         // a run may have 300 processes
constexpr int kDescriptorsPerGateway = 10;  // reactor, waker, listener and bus connection, plus a margin
constexpr int kDescriptorsPerProcess = 64;
constexpr int kPort = 7400;
constexpr size_t kHostDigits = 150;  // 100 to 249, so that every number has three digits
constexpr int kSettleLookMs = 100;
constexpr Ms kFirstGroupMost = 60000;  // limit for the first group to acquire all leases

int raise_descriptor_limit() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, 1 << 30));
}

void check_sizes(const SimulatedFleetOptions& options) {
  if (options.gateways <= 0) throw ScaleError("a fleet of no gateways");
  if (options.keepers > options.gateways)
    throw ScaleError(fmt::format("{} keepers of {} gateways", options.keepers, options.gateways));
  if (options.zones <= 0 || options.zones > options.gateways)
    throw ScaleError(fmt::format("{} zones for {} gateways", options.zones, options.gateways));
  if (options.gateways_per_process <= 0) throw ScaleError("no gateways to a process");
  if (options.leases < 0 || options.engines < 0 || options.keepers < 0) throw ScaleError("a size below zero");
  const int processes = options.keepers + 1 + options.gateways / options.gateways_per_process + 1;
  if (processes > kProcessesMost)
    throw ScaleError(fmt::format("{} processes, more than {}", processes, kProcessesMost));
}

void check_descriptors(const SimulatedFleetOptions& options) {
  const int most = raise_descriptor_limit();
  const int together = std::min(options.gateways_per_process, options.gateways);
  const int at_group = together * (options.keepers + kDescriptorsPerGateway) + kDescriptorsPerProcess;
  // A replica has a process of its own and a connection from every gateway; so has the bus.
  const int at_keeper = options.gateways + options.keepers + kDescriptorsPerProcess;
  const int wanted = std::max(at_keeper, at_group);
  if (wanted > most) throw ScaleError(fmt::format("{} descriptors in a process, of {}", wanted, most));
}

}  // namespace

std::string loopback_address(size_t number) {
  const size_t first = static_cast<size_t>(::getpid()) % kHostDigits;
  return fmt::format("127.{}.{}.{}:{}", 100 + first, 100 + number / kHostDigits % kHostDigits,
                     100 + number % kHostDigits, kPort);
}

std::string engine_listings(int first, int count, const std::string& state) {
  std::string out;
  for (int i = first; i < first + count; ++i)
    out += fmt::format("{}{}", out.empty() ? "" : ",",
                       fakes::listing(fmt::format("s-{:08x}", i),
                                      fmt::format("127.9.{}.{}:9042", i / 250, 1 + i % 250), state));
  return out;
}

SimulatedFleet::SimulatedFleet(const SimulatedFleetOptions& options) : options_(options) {
  check_sizes(options);
  check_descriptors(options);
  const auto keepers = static_cast<size_t>(options.keepers);
  if (options.keeper_folders) {
    char name[] = "/tmp/firvalve-simulated-XXXXXX";
    if (!::mkdtemp(name)) throw ScaleError("no folder for the keepers");
    folder_.path = name;
  }
  SimulatedGatewayOptions common;
  common.lease_ms = options.lease_ms;
  if (options.engines > 0) common.known_list = fakes::topology(1, true, engine_listings(0, options.engines));
  for (int i = 0; i < options.leases; ++i) common.leases.push_back(fmt::format("trial:s-{:08x}", i));
  for (size_t i = 0; i < keepers; ++i) common.keepers.push_back(loopback_address(i));
  if (options.bus) common.bus = bus_address_ = loopback_address(static_cast<size_t>(options.gateways));

  std::vector<GatewayProcessOptions> plan;
  for (size_t i = 0; i < static_cast<size_t>(options.gateways); ++i) {
    const bool keeper = i < keepers;  // a process each: a replica has a connection from every gateway
    const bool full =
        !plan.empty() && plan.back().gateways.size() >= static_cast<size_t>(options.gateways_per_process);
    if (keeper || i == keepers || full) plan.emplace_back();
    SimulatedGatewayOptions gateway = common;
    gateway.address = loopback_address(i);
    gateway.site = fmt::format("z{}", zone(i));
    gateway.seed = options.seed * 1000003 + i;
    if (keeper && !folder_.path.empty()) gateway.folder = fmt::format("{}/{}", folder_.path, i);
    members_.push_back({gateway.address, plan.size() - 1, plan.back().gateways.size()});
    plan.back().gateways.push_back(std::move(gateway));
  }
  if (options.bus) {
    plan.emplace_back();
    plan.back().bus_address = bus_address_;
  }
  start_processes(std::move(plan));
}

SimulatedFleet::Folder::~Folder() {
  std::error_code ignored;
  if (!path.empty()) std::filesystem::remove_all(path, ignored);
}

void SimulatedFleet::start_group(std::vector<GatewayProcessOptions>& plan, size_t first, size_t end) {
  for (size_t i = first; i < end; ++i) processes_[i] = std::make_unique<GatewayProcess>(std::move(plan[i]));
  for (size_t i = first; i < end; ++i) processes_[i]->wait_ready();
}

// Starts the bus first: a gateway that cannot connect retries up to a second later.
void SimulatedFleet::start_processes(std::vector<GatewayProcessOptions> plan) {
  processes_.resize(plan.size());
  const size_t of_gateways = plan.size() - (options_.bus ? 1 : 0);
  start_group(plan, of_gateways, plan.size());
  const size_t keepers_and_one = static_cast<size_t>(options_.keepers) + 1;
  const size_t at_first = options_.staged_start ? std::min(of_gateways, keepers_and_one) : of_gateways;
  start_group(plan, 0, at_first);
  if (at_first == of_gateways) return;
  wait_settled(kFirstGroupMost);
  start_group(plan, at_first, of_gateways);
}

size_t SimulatedFleet::gateways_started() const {
  return static_cast<size_t>(std::count_if(members_.begin(), members_.end(), [this](const Member& member) {
    return processes_[member.process] != nullptr;
  }));
}

SimulatedFleet::Snapshot SimulatedFleet::snapshot() {
  Snapshot out;
  out.gateways.resize(members_.size());
  std::vector<GatewayProcessReport> reports(processes_.size());
  for (const auto& process : processes_)
    if (process && process->is_up()) process->ask_report();
  for (size_t i = 0; i < processes_.size(); ++i) {
    if (!processes_[i] || !processes_[i]->is_up()) continue;
    reports[i] = processes_[i]->read_report();
    out.resident_mb += reports[i].resident_mb;
    out.cpu_us += reports[i].cpu_us;
    ++out.processes;
  }
  if (options_.bus) out.bus = reports.back().bus;
  for (size_t i = 0; i < members_.size(); ++i) {
    std::vector<SimulatedGatewayReport>& of_process = reports[members_[i].process].gateways;
    if (members_[i].place < of_process.size()) out.gateways[i] = std::move(of_process[members_[i].place]);
  }
  out.at = read_report_clock();
  return out;
}

void SimulatedFleet::wait_settled(Ms longest, const std::function<void()>& each_look) {
  const Ms began = read_report_clock();
  for (;;) {
    if (each_look) each_look();
    const Snapshot now = snapshot();
    size_t ready_keepers = 0;
    for (const SimulatedGatewayReport& gateway : now.gateways) {
      ready_keepers += gateway.record_ready;
      for (const LeaseEvent& event : gateway.lease_events)
        if (event.until > 0) held_until_[event.lease] = std::max(held_until_[event.lease], event.until);
    }
    const auto held = std::count_if(held_until_.begin(), held_until_.end(),
                                    [&](const auto& lease) { return lease.second > now.at; });
    const bool all_follow = !options_.bus || now.bus.connections_open >= gateways_started();
    if (ready_keepers == static_cast<size_t>(options_.keepers) && held == options_.leases && all_follow)
      return;
    if (read_report_clock() > began + longest)
      throw ScaleError(fmt::format(
          "a fleet of {} has not settled within {:.0f} s: {} of {} keepers ready, {} of {} leases held, {} "
          "follow the bus",
          members_.size(), longest / 1000, ready_keepers, options_.keepers, held, options_.leases,
          now.bus.connections_open));
    ::usleep(kSettleLookMs * 1000);
  }
}

void SimulatedFleet::for_each_process(const std::vector<size_t>& which,
                                      void (GatewayProcess::*act)(const std::vector<size_t>&)) {
  std::map<size_t, std::vector<size_t>> places;  // key: process number
  for (const size_t gateway : which) {
    if (gateway >= members_.size()) throw ScaleError("no such gateway in the fleet");
    places[members_[gateway].process].push_back(members_[gateway].place);
  }
  for (const auto& [process, in_it] : places) ((*processes_[process]).*act)(in_it);
}

void SimulatedFleet::kill_gateways(const std::vector<size_t>& which) {
  for_each_process(which, &GatewayProcess::kill_gateways);
}
void SimulatedFleet::start_gateways(const std::vector<size_t>& which) {
  for_each_process(which, &GatewayProcess::start_gateways);
}
void SimulatedFleet::end_gateways(const std::vector<size_t>& which) {
  for_each_process(which, &GatewayProcess::end_gateways);
}

void SimulatedFleet::announce(const std::string& listings, bool whole) {
  if (!options_.bus) throw ScaleError("a fleet without an event bus");
  processes_.back()->announce(listings, whole);
}

}  // namespace firvalve::loadtest
