// Implements the cluster of simulated gateways for loss trials and its traffic meter.
#include "loadtest/loss_fleet.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

#include "loadtest/simulated_fleet.h"

namespace firvalve::loadtest {
namespace {

constexpr size_t kProcessesMost = 290;  // a run may have 300 processes
constexpr rlim_t kDescriptorsBeside = 512;
constexpr Ms kSettleLongest = 60000;
constexpr Ms kSampleEvery = 100, kWindow = 1000, kProgressEvery = 2000;
constexpr useconds_t kLookEveryUs = 10000;

void check_descriptors(rlim_t wanted) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  if (wanted > limit.rlim_max)
    throw ScaleError(fmt::format("{} descriptors for the proxies, of {}", wanted, limit.rlim_max));
}

std::vector<std::string> lease_names(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) names.push_back(fmt::format("trial:s-{:08x}", i));
  return names;
}

KeeperTraffic sum_of(const std::vector<KeeperTraffic>& keepers) {
  KeeperTraffic sum;
  for (const KeeperTraffic& keeper : keepers) {
    sum.messages += keeper.messages;
    sum.bytes += keeper.bytes;
    sum.connects += keeper.connects;
  }
  return sum;
}

double rate_of(uint64_t before, uint64_t now, Ms span) {
  return static_cast<double>(now - before) * 1000 / span;
}

}  // namespace

LossFleet::LossFleet(const LossFleetOptions& options, const Progress& progress)
    : topology_(options.topology),
      leases_(lease_names(options.leases)),
      places_(topology_.keepers()),
      view_(leases_, topology_.keepers().size() + topology_.gateways().size()) {
  if (options.leases < 1) throw ScaleError("no lease that could be lost");
  places_.insert(places_.end(), topology_.gateways().begin(), topology_.gateways().end());
  check_descriptors(places_.size() * keepers() * 2 + kDescriptorsBeside);
  for (size_t member = 0; member < places_.size(); ++member) {
    names_.push_back(loopback_address(member));
    members_[names_.back()] = member;
  }
  for (size_t keeper = 0; keeper < keepers(); ++keeper)
    keeper_addresses_.push_back(loopback_address(places_.size() + keeper));
  plan_processes(options);
  start_proxies();
  // Starts the acceptors, then the gateways that are to hold the leases, then all others.
  const size_t first_holders = topology_.regions();
  launch(0, keepers());
  launch(keepers(), first_holders);
  wait_served(kSettleLongest, progress);
  launch(keepers() + first_holders, processes_.size() - keepers() - first_holders);
  wait_served(kSettleLongest, progress);
}

LossFleet::~LossFleet() = default;

void LossFleet::plan_processes(const LossFleetOptions& options) {
  process_of_.assign(places_.size(), SIZE_MAX);
  const auto unplanned = [&](std::vector<size_t> members) {
    std::erase_if(members, [&](size_t member) { return process_of_[member] != SIZE_MAX; });
    return members;
  };
  for (size_t keeper = 0; keeper < keepers(); ++keeper) add_process({keeper}, options);
  for (size_t region = 0; region < topology_.regions(); ++region)
    add_process({member_of_gateway(region)}, options);
  for (size_t region = 0; region < topology_.regions(); ++region)
    add_process(unplanned(rack_of(member_of_gateway(region))), options);
  for (size_t zone = 0; zone < topology_.zones(); ++zone) {
    std::vector<size_t> members;
    for (const size_t gateway : topology_.gateways_in_zone(zone))
      members.push_back(member_of_gateway(gateway));
    add_process(unplanned(members), options);
  }
  if (processes_.size() > kProcessesMost)
    throw ScaleError(fmt::format("{} processes, more than {}", processes_.size(), kProcessesMost));
}

void LossFleet::add_process(const std::vector<size_t>& members, const LossFleetOptions& options) {
  if (members.empty()) return;
  Process process;
  process.members = members;
  for (const size_t member : members) {
    process_of_[member] = processes_.size();
    SimulatedGatewayOptions gateway;
    const bool is_keeper = member < keepers();
    gateway.address = is_keeper ? keeper_addresses_[member] : names_[member];
    if (is_keeper) gateway.reached_at = names_[member];
    if (!is_keeper) gateway.leases = leases_;
    gateway.site = fmt::format("z{}", places_[member].zone);
    gateway.keepers.assign(names_.begin(), names_.begin() + static_cast<ptrdiff_t>(keepers()));
    gateway.lease_ms = options.lease_ms;
    gateway.seed = options.seed * 1000003 + member;
    process.options.gateways.push_back(std::move(gateway));
  }
  processes_.push_back(std::move(process));
}

void LossFleet::start_proxies() {
  for (size_t keeper = 0; keeper < keepers(); ++keeper) {
    RegionProxyOptions options;
    options.address = names_[keeper];
    options.keeper = keeper_addresses_[keeper];
    options.regions = topology_.regions();
    options.member_of = [this](const std::string& name) -> std::optional<size_t> {
      const auto at = members_.find(name);
      if (at == members_.end()) return {};
      return at->second;
    };
    options.region_of = [this](size_t member) { return places_[member].region; };
    options.on_answer = [this](size_t member, const consensus::Message& message) {
      view_.take_answer(member, message, read_report_clock());
    };
    proxies_.push_back(std::make_unique<RegionProxy>(std::move(options)));
  }
}

void LossFleet::launch(size_t first, size_t count) {
  for (size_t i = first; i < first + count; ++i)
    processes_[i].child = std::make_unique<GatewayProcess>(processes_[i].options);
  for (size_t i = first; i < first + count; ++i) processes_[i].child->wait_ready();
}

std::vector<size_t> LossFleet::gateways_up() const {
  std::vector<size_t> out;
  for (size_t member = keepers(); member < size(); ++member)
    if (processes_[process_of_[member]].child) out.push_back(member);
  return out;
}

std::map<std::string, size_t> LossFleet::holders_up(const std::vector<size_t>& regions) const {
  std::map<std::string, size_t> out;
  for (const size_t member : gateways_up()) {
    const bool wanted =
        regions.empty() || std::find(regions.begin(), regions.end(), places_[member].region) != regions.end();
    if (wanted) out[names_[member]] = member;
  }
  return out;
}

std::vector<size_t> LossFleet::rack_of(size_t holder) const {
  std::vector<size_t> members;
  for (const size_t gateway : topology_.gateways_in_rack(places_[holder].zone, places_[holder].rack))
    members.push_back(member_of_gateway(gateway));
  return members;
}

std::vector<size_t> LossFleet::zone_of(size_t holder) const {
  std::vector<size_t> members;
  for (size_t member = 0; member < size(); ++member)
    if (places_[member].zone == places_[holder].zone) members.push_back(member);
  return members;
}

std::vector<size_t> LossFleet::holders() const {
  std::vector<size_t> out;
  for (const std::string& lease : leases_) {
    const std::optional<std::string> holder = view_.holder(lease);
    if (holder && members_.contains(*holder)) out.push_back(members_.at(*holder));
  }
  return out;
}

size_t LossFleet::busiest_holder() const {
  return busiest_of([](size_t) { return true; });
}

size_t LossFleet::busiest_holder_beside_keeper() const {
  return busiest_of([&](size_t member) {
    return std::any_of(topology_.keepers().begin(), topology_.keepers().end(),
                       [&](const Place& keeper) { return keeper.zone == places_[member].zone; });
  });
}

size_t LossFleet::busiest_of(const std::function<bool(size_t member)>& is_wanted) const {
  std::map<size_t, int> held;  // number of leases by member
  for (const size_t member : holders()) {
    const size_t gateway = member - keepers();
    if (gateway < topology_.regions() && is_wanted(member)) ++held[member];
  }
  const auto most = std::max_element(held.begin(), held.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  if (most == held.end()) throw ScaleError("no process of one gateway holds a lease");
  return most->first;
}

void LossFleet::kill(const std::vector<size_t>& members) {
  std::vector<size_t> doomed;  // process numbers
  for (const size_t member : members) {
    const size_t process = process_of_[member];
    for (const size_t other : processes_[process].members)
      if (std::find(members.begin(), members.end(), other) == members.end())
        throw ScaleError("a process can be lost whole only");
    if (std::find(doomed.begin(), doomed.end(), process) == doomed.end()) doomed.push_back(process);
  }
  for (const size_t process : doomed)
    if (processes_[process].child) collect(processes_[process]);
  for (const size_t process : doomed) {
    if (!processes_[process].child) continue;
    processes_[process].child->kill();
    processes_[process].child.reset();
  }
  const Ms killed_at = read_report_clock();
  for (const size_t member : members) {
    if (member < keepers()) proxies_[member]->set_listening(false);
    for (simulation::LeaseTerm& span : history_.lease_terms)
      if (span.holder == names_[member]) span.until = std::min(span.until, killed_at);
  }
}

void LossFleet::start(const std::vector<size_t>& members) {
  std::vector<size_t> started;
  for (const size_t member : members) {
    view_.forget(member);
    if (member < keepers()) proxies_[member]->set_listening(true);
    Process& process = processes_[process_of_[member]];
    if (process.child) continue;
    process.child = std::make_unique<GatewayProcess>(process.options);
    started.push_back(process_of_[member]);
  }
  for (const size_t process : started) processes_[process].child->wait_ready();
}

bool LossFleet::keeper_ready(size_t keeper) {
  Process& process = processes_[process_of_[keeper]];
  const GatewayProcessReport report = process.child->report();
  return report.gateways.at(0).record_ready;
}

void LossFleet::set_cut(size_t region, size_t other_region, bool cut) {
  for (size_t keeper = 0; keeper < keepers(); ++keeper) {
    if (places_[keeper].region == region) proxies_[keeper]->set_cut(other_region, cut);
    if (places_[keeper].region == other_region) proxies_[keeper]->set_cut(region, cut);
  }
}

void LossFleet::wait_served(Ms longest, const Progress& progress) {
  const Ms began = read_report_clock();
  Ms tell_at = began + kProgressEvery;
  while (!is_served(gateways_up(), holders_up(), began)) {
    if (read_report_clock() > began + longest)
      throw ScaleError(fmt::format("a fleet of {} has not settled within {:.0f} s", size(), longest / 1000));
    if (read_report_clock() >= tell_at) {
      progress(fmt::format("loss: a fleet of {} settles", size()));
      tell_at = read_report_clock() + kProgressEvery;
    }
    ::usleep(kLookEveryUs);
  }
}

std::vector<KeeperTraffic> LossFleet::traffic() const {
  std::vector<KeeperTraffic> out;
  for (const auto& proxy : proxies_) {
    if (proxy->out_of_descriptors()) throw ScaleError("no descriptor left for a connection to a keeper");
    out.push_back(proxy->traffic());
  }
  return out;
}

void LossFleet::collect_history() {
  for (Process& process : processes_)
    if (process.child) collect(process);
}

void LossFleet::collect(Process& process) {
  const GatewayProcessReport report = process.child->report();
  for (size_t i = 0; i < report.gateways.size() && i < process.members.size(); ++i)
    for (const LeaseEvent& event : report.gateways[i].lease_events) note(process.members[i], event);
}

void LossFleet::note(size_t member, const LeaseEvent& event) {
  using Kind = LeaseEvent::Kind;
  const bool acts = event.kind == Kind::kTaken || event.kind == Kind::kRenewed;
  for (simulation::LeaseTerm& span : history_.lease_terms) {
    if (span.holder != names_[member] || span.lease != event.lease || span.epoch != event.epoch) continue;
    span.until = acts ? event.until : std::min(span.until, event.at);
    return;
  }
  if (acts) history_.lease_terms.push_back({event.lease, names_[member], event.epoch, event.at, event.until});
}

std::vector<size_t> LossFleet::holders_now() {
  collect_history();
  const Ms now = read_report_clock();
  std::vector<size_t> out;
  for (const simulation::LeaseTerm& span : history_.lease_terms)
    if (span.from <= now && now < span.until) out.push_back(members_.at(span.holder));
  return out;
}

std::vector<simulation::InvariantViolation> LossFleet::violations() {
  collect_history();
  return simulation::check_invariants(history_);
}

std::vector<pid_t> LossFleet::process_ids() const {
  std::vector<pid_t> out;
  for (const Process& process : processes_)
    if (process.child) out.push_back(process.child->id());
  return out;
}

void TrafficMeter::sample() {
  const Ms now = read_report_clock();
  if (!samples_.empty() && now < samples_.back().at + kSampleEvery) return;
  samples_.push_back({now, fleet_.traffic()});
  sums_.push_back({now, sum_of(samples_.back().keepers)});
  // Keeps the newest sample that is at least one window old as the first, to compute rates against.
  while (samples_.size() > 2 && samples_[1].at <= now - kWindow) samples_.erase(samples_.begin());
  const Sample& first = samples_.front();
  const Ms span = now - first.at;
  if (span < kWindow) return;
  last_second_ = {};
  for (size_t keeper = 0; keeper < first.keepers.size(); ++keeper) {
    const KeeperTraffic& before = first.keepers[keeper];
    const KeeperTraffic& after = samples_.back().keepers[keeper];
    last_second_.messages = std::max(last_second_.messages, rate_of(before.messages, after.messages, span));
    last_second_.bytes = std::max(last_second_.bytes, rate_of(before.bytes, after.bytes, span));
    last_second_.connects = std::max(last_second_.connects, rate_of(before.connects, after.connects, span));
  }
  peak_.messages = std::max(peak_.messages, last_second_.messages);
  peak_.bytes = std::max(peak_.bytes, last_second_.bytes);
  peak_.connects = std::max(peak_.connects, last_second_.connects);
}

void TrafficMeter::restart() {
  peak_ = {};
  sums_.clear();
  samples_.push_back({read_report_clock(), fleet_.traffic()});
  sums_.push_back({samples_.back().at, sum_of(samples_.back().keepers)});
}

}  // namespace firvalve::loadtest
