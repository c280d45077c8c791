// The loss part of the scale run: clusters of increasing size lose a part, recover, and get it back.
#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <thread>

#include "loadtest/client_loss.h"
#include "loadtest/loss_trial.h"
#include "loadtest/parts.h"

namespace firvalve::loadtest {
namespace {

// The largest size of each list is held out from the fit. With more gateways, the contention for a lost lease
// sends more messages than one machine can carry beside the gateways. The loss of an acceptor (`keeper`)
// alone can be measured at any size.
const std::vector<int> kGateways = {40, 64, 96, 128, 192, 256};
const std::vector<int> kQuickGateways = {20, 24, 28, 32, 36, 40};
const std::vector<int> kClients = {20, 40, 80, 160, 320, 640};
const std::vector<int> kQuickClients = {4, 8, 12, 16, 20, 40};
constexpr double kClientRate = 0.23;  // per client: 1.5 million commands/s over 6.5 million clients
constexpr Ms kLease = 3000;

std::vector<LossKind> losses_of(const ScaleOptions& options) {
  using Kind = LossKind;
  // The order matters: any gateway may acquire a lease that its first holder lost, but the zone, rack and
  // holder that are lost must each hold some leases.
  static const std::vector<std::pair<std::string, std::vector<Kind>>> kAll = {
      {"zone", {Kind::kZone}},
      {"rack", {Kind::kRack}},
      {"holder", {Kind::kHolder}},
      {"keeper", {Kind::kKeeper}},
      {"region", {Kind::kRegionPair, Kind::kSplit}}};
  for (const std::string& loss : options.losses)
    if (std::none_of(kAll.begin(), kAll.end(), [&](const auto& known) { return known.first == loss; }))
      throw ScaleError(fmt::format("unknown loss \"{}\"", loss));
  std::vector<Kind> out;
  for (const auto& [name, kinds] : kAll)
    if (options.losses.empty() ||
        std::find(options.losses.begin(), options.losses.end(), name) != options.losses.end())
      out.insert(out.end(), kinds.begin(), kinds.end());
  return out;
}

TopologyOptions topology_of(const ScaleOptions& options, int gateways) {
  return {gateways, options.regions, options.zones, options.keepers};
}

std::string machine_text() {
  std::string word;
  double kilobytes = 0;
  std::ifstream("/proc/meminfo") >> word >> kilobytes;
  return fmt::format("{} cores, {:.0f} GB", std::thread::hardware_concurrency(), kilobytes / 1024 / 1024);
}

std::string today() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  ::gmtime_r(&now, &parts);
  return fmt::format("{:04}-{:02}-{:02}", parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday);
}

std::string command_of(const ScaleOptions& options) {
  std::string command =
      fmt::format("firvalve-loadtest scale --part loss --regions {} --zones {} --keepers {}", options.regions,
                  options.zones, options.keepers);
  command += fmt::format(" --duties {} --seed {}", options.leases, options.seed);
  if (!options.gateways.empty()) command += fmt::format(" --gateways {}", fmt::join(options.gateways, " "));
  if (!options.losses.empty()) command += fmt::format(" --lose {}", fmt::join(options.losses, " "));
  return options.quick ? command + " --quick" : command;
}

// Collects measurements by name, in order of first use.
class LossSeries {
 public:
  explicit LossSeries(const ScaleOptions& options) {
    form_.command = command_of(options);
    form_.date = today();
    form_.machine = machine_text();
    form_.seed = options.seed;
  }
  void vary(const std::string& varied, std::map<std::string, double> fixed) {
    form_.varied = varied;
    form_.fixed = std::move(fixed);
  }
  void add(const std::string& name, const std::string& unit, double size, double value) {
    auto at = std::find_if(all_.begin(), all_.end(), [&](const Measurement& m) { return m.name == name; });
    if (at == all_.end()) {
      at = all_.insert(all_.end(), form_);
      at->name = name;
      at->unit = unit;
    }
    at->points.push_back({size, value});
  }
  std::vector<Measurement> take() { return std::move(all_); }

 private:
  Measurement form_;
  std::vector<Measurement> all_;
};

void add_result(LossSeries& series, double gateways, const LossResult& result) {
  const std::string prefix = fmt::format("loss.{}.", name_of(result.kind));
  const auto add = [&](const char* what, const char* unit, double value) {
    series.add(prefix + what, unit, gateways, value);
  };
  add("lost", "count", static_cast<double>(result.members_lost));
  add("duties_lost", "count", static_cast<double>(result.leases_lost));
  add("recovery", "ms", result.recovery);
  add("keeper.rest_messages", "messages/s", result.rest.messages);
  add("keeper.rest_bytes", "bytes/s", result.rest.bytes);
  add("keeper.peak_messages", "messages/s", result.peak.messages);
  add("keeper.peak_bytes", "bytes/s", result.peak.bytes);
  add("keeper.peak_connects", "connects/s", result.peak.connects);
  add("return.recovery", "ms", result.return_recovery);
  add("return.until_rest", "ms", result.return_rest);
  add("return.messages", "count", result.return_messages);
  add("return.bytes", "bytes", result.return_bytes);
  add("return.keeper.peak_messages", "messages/s", result.return_peak.messages);
  add("return.keeper.peak_bytes", "bytes/s", result.return_peak.bytes);
  add("return.keeper.peak_connects", "connects/s", result.return_peak.connects);
  if (result.kind != LossKind::kSplit) return;
  add("majority_keepers", "count", static_cast<double>(result.majority_keepers));
  add("minority_holders", "count", static_cast<double>(result.minority_holders));
}

void measure_fleet(const ScaleOptions& options, int gateways, const std::vector<LossKind>& losses,
                   LossSeries& series, const Progress& progress) {
  progress(fmt::format("loss: a fleet of {} gateways starts", gateways));
  LossFleet fleet({topology_of(options, gateways), options.leases, kLease, options.seed}, progress);
  for (const LossKind loss : losses) {
    progress(fmt::format("loss: {} gateways lose a {}", gateways, name_of(loss)));
    const LossResult result = try_loss(fleet, loss, {}, progress);
    progress(fmt::format("loss: {} of {} gateways: served after {:.0f} ms, whole after {:.0f} ms",
                         name_of(loss), gateways, result.recovery, result.return_recovery));
    add_result(series, gateways, result);
  }
  const std::vector<simulation::InvariantViolation> violations = fleet.violations();
  if (!violations.empty()) throw ScaleError(fmt::format("{}: {}", violations[0].rule, violations[0].text));
}

void measure_clients(const ScaleOptions& options, LossSeries& series, const Progress& progress) {
  for (const int clients : options.quick ? kQuickClients : kClients) {
    ClientLossOptions trial;
    trial.clients = clients;
    trial.rate = kClientRate;
    trial.seed = options.seed;
    if (options.quick) trial.rest = trial.down = trial.back = 2000;
    const ClientLossResult result = try_client_loss(trial, progress);
    series.add("loss.clients.rest_connects", "connects/s", clients, result.rest_connects);
    series.add("loss.clients.peak_connects", "connects/s", clients, result.peak_connects);
    series.add("loss.clients.return_peak_connects", "connects/s", clients, result.return_peak);
    series.add("loss.clients.answered", "share", clients, result.answered_part);
  }
}

}  // namespace

std::vector<Measurement> measure_loss(const ScaleOptions& options, const Progress& progress) {
  const std::vector<LossKind> losses = losses_of(options);
  std::vector<int> sizes = options.gateways;
  if (sizes.empty()) sizes = options.quick ? kQuickGateways : kGateways;
  std::sort(sizes.begin(), sizes.end());
  for (const int gateways : sizes)
    for (const LossKind loss : losses) check_loss(loss, topology_of(options, gateways));

  LossSeries series(options);
  series.vary("gateways", {{"regions", options.regions},
                           {"zones", options.zones},
                           {"keepers", options.keepers},
                           {"duties", options.leases},
                           {"lease_ms", kLease}});
  for (const int gateways : sizes) measure_fleet(options, gateways, losses, series, progress);
  if (std::find(losses.begin(), losses.end(), LossKind::kZone) != losses.end()) {
    series.vary("clients", {{"rate", kClientRate}, {"gateways", 3}});
    measure_clients(options, series, progress);
  }
  return series.take();
}

}  // namespace firvalve::loadtest
