// Implements one loss trial: steady state, loss, recovery, return.
#include "loadtest/loss_trial.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <map>

namespace firvalve::loadtest {
namespace {

constexpr useconds_t kLookEveryUs = 10000;
constexpr Ms kProgressEvery = 5000, kRateWindow = 1000;
constexpr double kRestMargin = 1.25;  // a higher multiple of the final message rate is not steady yet

double per_ms(uint64_t before, uint64_t after, Ms span) {
  return span > 0 ? static_cast<double>(after - before) / span : 0;
}

// What is lost, and which regions may hold leases meanwhile.
struct Loss {
  std::vector<size_t> killed;                   // member numbers
  std::vector<std::pair<size_t, size_t>> cuts;  // pairs of partitioned regions
  std::vector<size_t> serving_regions;          // empty: all
};

std::vector<size_t> other_side(const LossFleet& fleet, const std::vector<size_t>& side) {
  std::vector<size_t> out;
  for (size_t region = 0; region < fleet.topology().regions(); ++region)
    if (std::find(side.begin(), side.end(), region) == side.end()) out.push_back(region);
  return out;
}

Loss plan_loss(const LossFleet& fleet, LossKind kind) {
  Loss loss;
  switch (kind) {
    case LossKind::kHolder:
      loss.killed = {fleet.busiest_holder()};
      break;
    case LossKind::kKeeper:
      loss.killed = {0};
      break;
    case LossKind::kRack:
      loss.killed = fleet.rack_of(fleet.busiest_holder());
      break;
    case LossKind::kZone:
      loss.killed = fleet.zone_of(fleet.busiest_holder_beside_keeper());
      break;
    case LossKind::kRegionPair:
      loss.cuts = {{0, 1}};
      break;
    case LossKind::kSplit:
      loss.serving_regions = fleet.topology().majority_side();
      for (const size_t region : loss.serving_regions)
        for (const size_t other : other_side(fleet, loss.serving_regions))
          loss.cuts.emplace_back(region, other);
      break;
  }
  return loss;
}

class Trial {
 public:
  Trial(LossFleet& fleet, LossKind kind, const LossTimes& times, const Progress& progress)
      : fleet_(fleet), times_(times), progress_(progress), loss_(plan_loss(fleet, kind)), meter_(fleet) {
    result_.kind = kind;
    result_.members_lost = loss_.killed.size();
  }

  LossResult run() {
    watch_rest();
    lose();
    give_back();
    return result_;
  }

 private:
  void watch_for(Ms span) {
    const Ms until = read_report_clock() + span;
    while (read_report_clock() < until) look();
  }
  void look() {
    ::usleep(kLookEveryUs);
    meter_.sample();
    if (read_report_clock() < tell_at_) return;
    if (tell_at_ > 0)
      progress_(
          fmt::format("loss: {} in a fleet of {} members, watched", name_of(result_.kind), fleet_.size()));
    tell_at_ = read_report_clock() + kProgressEvery;
  }
  template <class Condition>
  void watch_until(const char* what, Ms longest, Condition&& is_reached) {
    const Ms began = read_report_clock();
    while (!is_reached()) {
      if (read_report_clock() > began + longest) {
        fleet_.collect_history();  // throws a more precise error if a process has died
        throw ScaleError(fmt::format("after a loss ({}) a fleet of {} was not {} within {:.0f} s",
                                     name_of(result_.kind), fleet_.size(), what, longest / 1000));
      }
      look();
    }
  }

  void watch_rest() {
    watch_for(times_.rest);
    result_.rest = meter_.last_second();
  }

  void lose() {
    const std::vector<size_t> holders_before = fleet_.holders();
    meter_.restart();
    const Ms lost_at = read_report_clock();
    if (!loss_.killed.empty()) fleet_.kill(loss_.killed);
    for (const auto& [region, other] : loss_.cuts) fleet_.set_cut(region, other, true);
    const std::map<std::string, size_t> holders = fleet_.holders_up(loss_.serving_regions);
    std::vector<size_t> serving;
    serving.reserve(holders.size());
    for (const auto& [name, member] : holders) serving.push_back(member);
    for (const size_t holder : holders_before)
      result_.leases_lost += std::find(serving.begin(), serving.end(), holder) == serving.end();
    watch_until("served", times_.recovery_longest,
                [&] { return fleet_.is_served(serving, holders, lost_at); });
    result_.recovery = read_report_clock() - lost_at;
    watch_for(times_.after);
    if (!loss_.cuts.empty()) watch_for(std::max(0.0, lost_at + times_.cut - read_report_clock()));
    result_.peak = meter_.peak();
    if (result_.kind == LossKind::kSplit) look_at_split(holders);
  }

  void look_at_split(const std::map<std::string, size_t>& majority) {
    const std::vector<size_t> acting = fleet_.holders_now();
    const auto is_minority = [&](size_t member) {
      return std::none_of(majority.begin(), majority.end(),
                          [&](const auto& holder) { return holder.second == member; });
    };
    result_.minority_holders = static_cast<size_t>(std::count_if(acting.begin(), acting.end(), is_minority));
    for (const size_t region : loss_.serving_regions)
      result_.majority_keepers += fleet_.topology().keepers_in_region(region).size();
  }

  void give_back() {
    meter_.restart();
    const Ms back_at = read_report_clock();
    if (!loss_.killed.empty()) fleet_.start(loss_.killed);
    for (const auto& [region, other] : loss_.cuts) fleet_.set_cut(region, other, false);
    watch_until("whole again", times_.recovery_longest, [&] {
      return fleet_.is_served(fleet_.gateways_up(), fleet_.holders_up(), back_at) && all_keepers_ready();
    });
    result_.return_recovery = read_report_clock() - back_at;
    watch_for(std::max(times_.back - result_.return_recovery, times_.new_rest));
    result_.return_peak = meter_.peak();
    count_return();
  }

  // Computes the time from the return to the new steady state, and the acceptors' traffic above it until
  // then.
  void count_return() {
    using Sum = TrafficMeter::Sum;
    const std::vector<Sum>& sums = meter_.sums();
    const Sum& back = sums.front();
    const Sum& end = sums.back();
    const auto is_before = [](const Sum& sum, Ms at) { return sum.at < at; };
    const Sum& rest = *std::lower_bound(sums.begin(), sums.end(), end.at - times_.new_rest, is_before);
    const double rest_messages = per_ms(rest.traffic.messages, end.traffic.messages, end.at - rest.at);
    const double rest_bytes = per_ms(rest.traffic.bytes, end.traffic.bytes, end.at - rest.at);
    const Sum* last_above = &back;
    for (const Sum& sum : sums) {
      if (sum.at > rest.at) break;
      const Sum& before = *std::lower_bound(sums.begin(), sums.end(), sum.at - kRateWindow, is_before);
      if (sum.at - before.at < kRateWindow / 2) continue;
      const double messages = per_ms(before.traffic.messages, sum.traffic.messages, sum.at - before.at);
      if (messages > kRestMargin * rest_messages) last_above = &sum;
    }
    const Ms span = last_above->at - back.at;
    const double messages = static_cast<double>(last_above->traffic.messages - back.traffic.messages);
    const double bytes = static_cast<double>(last_above->traffic.bytes - back.traffic.bytes);
    result_.return_rest = span;
    result_.return_messages = std::max(0.0, messages - rest_messages * span);
    result_.return_bytes = std::max(0.0, bytes - rest_bytes * span);
  }

  bool all_keepers_ready() {
    return std::all_of(loss_.killed.begin(), loss_.killed.end(), [&](size_t member) {
      return member >= fleet_.keepers() || fleet_.keeper_ready(member);
    });
  }

  LossFleet& fleet_;
  const LossTimes times_;
  const Progress& progress_;
  Ms tell_at_ = 0;
  const Loss loss_;
  TrafficMeter meter_;
  LossResult result_;
};

}  // namespace

const char* name_of(LossKind kind) {
  switch (kind) {
    case LossKind::kHolder:
      return "holder";
    case LossKind::kKeeper:
      return "keeper";
    case LossKind::kRack:
      return "rack";
    case LossKind::kZone:
      return "zone";
    case LossKind::kRegionPair:
      return "region_pair";
    case LossKind::kSplit:
      return "split";
  }
  return "";
}

void check_loss(LossKind kind, const TopologyOptions& options) {
  const Topology topology(options);
  const bool by_region = kind == LossKind::kRegionPair || kind == LossKind::kSplit;
  if (by_region && topology.regions() < 2) throw ScaleError("one region cannot be cut apart");
  if (kind == LossKind::kSplit && topology.majority_side().size() == topology.regions())
    throw ScaleError("no side without a majority of the keepers: more regions or keepers are wanted");
  if (kind == LossKind::kZone && topology.zones() < 2) throw ScaleError("the zone lost is the only one");
  if (kind == LossKind::kHolder && topology.gateways().size() < 2)
    throw ScaleError("the gateway lost is the only one");
  const size_t rack = topology.gateways_in_rack(0, 0).size();
  if (kind == LossKind::kRack && rack >= topology.gateways().size())
    throw ScaleError("the rack lost is the only one");
  const size_t minority = (topology.keepers().size() - 1) / 2;
  if (kind == LossKind::kKeeper && minority < 1) throw ScaleError("no keeper can be spared");
  std::map<size_t, size_t> keepers_by_zone;
  for (const Place& keeper : topology.keepers()) ++keepers_by_zone[keeper.zone];
  for (const auto& [zone, keepers] : keepers_by_zone)
    if (kind == LossKind::kZone && keepers > minority)
      throw ScaleError(fmt::format("{} of {} keepers stand in a zone that may be lost", keepers,
                                   topology.keepers().size()));
}

LossResult try_loss(LossFleet& fleet, LossKind kind, const LossTimes& times, const Progress& progress) {
  return Trial(fleet, kind, times, progress).run();
}

}  // namespace firvalve::loadtest
