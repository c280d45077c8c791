// Measures how fast leases fail over and what a cluster costs, with gateway processes on loopback and with
// simulated clusters in virtual time.
//   firvalve_fleet_bench [trials]    produces the figures of docs/cluster.md; uses fake engines
#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "fakes/gateway_cluster.h"
#include "simulation/fleet_world.h"
#include "simulation/invariant_checker.h"

namespace {

using namespace firvalve;

template <class Condition>
bool wait_until(Condition&& condition) {
  for (int i = 0; i < 10000; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

void print_row(const std::string& name, std::vector<double> all, size_t trials) {
  std::sort(all.begin(), all.end());
  if (all.empty()) return;
  const auto at = [&](double q) {
    return all[std::min(all.size() - 1,
                        static_cast<size_t>(std::ceil(q * static_cast<double>(all.size())) - 1))];
  };
  fmt::print("{:<44} {:>4} of {:<4} {:>8.1f} {:>8.1f} {:>8.1f} ms\n", name, all.size(), trials, at(0.5),
             at(0.99), all.back());
}

// Measures the time without a holder in each trial: `fail` disturbs the present holder, `restore` repairs it
// after another gateway has the lease. `from_span`: measured from the end of the holder's last span, not from
// `fail`.
std::vector<double> measure_gaps(fakes::GatewayCluster& cluster, size_t trials,
                                 const std::function<void(size_t)>& fail,
                                 const std::function<void(size_t)>& restore, bool from_span) {
  std::vector<double> gaps_ms;
  for (size_t t = 0; t < trials; ++t) {
    if (!wait_until([&] { return cluster.ready(); })) break;
    const size_t first = *cluster.holder("trial:a");
    const Ms began = fakes::GatewayCluster::clock();
    fail(first);
    if (!wait_until([&] {
          const auto h = cluster.holder("trial:a");
          return h && *h != first;
        }))
      break;
    simulation::ClusterHistory h;
    for (size_t i = 0; i < cluster.size(); ++i)
      simulation::add_lease_terms(std::to_string(i), cluster.log(i), h);
    std::sort(h.lease_terms.begin(), h.lease_terms.end(),
              [](const auto& a, const auto& b) { return a.epoch < b.epoch; });
    const auto& last = h.lease_terms.back();
    gaps_ms.push_back(last.from - (from_span ? h.lease_terms[h.lease_terms.size() - 2].until : began));
    restore(first);
    if (!simulation::check_invariants(h).empty()) fmt::print("a rule was broken\n");
  }
  return gaps_ms;
}

}  // namespace

int main(int argc, char** argv) {
  const size_t trials = argc > 1 ? static_cast<size_t>(std::atoi(argv[1])) : 20;
  fmt::print("time without a holder, lease 1000 ms, 3 keepers of 5 processes   median   99 in 100   most\n");
  {
    fakes::GatewayCluster cluster(FIRVALVE_PROGRAM, {});
    const auto start = [&](size_t i) { cluster.start(i); };
    print_row("handed on at SIGTERM, from its last act",
              measure_gaps(
                  cluster, trials, [&](size_t i) { cluster.end(i); }, start, true),
              trials);
    print_row("killed, from the kill",
              measure_gaps(
                  cluster, trials, [&](size_t i) { cluster.kill(i); }, start, false),
              trials);
    print_row("stopped, from the stop",
              measure_gaps(
                  cluster, trials, [&](size_t i) { cluster.pause(i); }, [&](size_t i) { cluster.resume(i); },
                  false),
              trials);
    print_row("cut off from all, from the cut",
              measure_gaps(
                  cluster, trials, [&](size_t i) { cluster.proxy().set_apart(i, {.silent = true}); },
                  [&](size_t i) { cluster.proxy().set_apart(i, {}); }, false),
              trials);
  }
  fmt::print("\nin virtual time, 200 holders killed (lease 1000 ms):\n");
  {
    std::vector<double> all;
    for (uint64_t seed = 1; all.size() < 200; ++seed) {
      simulation::ClusterWorldOptions o;
      o.seed = seed;
      o.gateways = 8;
      o.leases = 30;
      o.jobs = o.readers = o.publishers = 0;
      o.duration = 9000;
      for (uint32_t k = 0; k < 2; ++k)
        o.given_faults.push_back(
            {simulation::ClusterFault::Kind::kKill, 4000.0 + 2500 * k, -1, 3 + k, 0, false});
      for (const Ms gap : simulation::play(o).gaps) all.push_back(gap);
    }
    print_row("a duty without a holder", all, all.size());
  }
  fmt::print("\nin virtual time, 10 s, 5 keepers, 20 duties, no faults\n{:>9} {:>12} {:>22} {:>16}\n",
             "gateways", "messages/s", "a gateway (no keeper)/s", "us of CPU each");
  for (const uint32_t gateways : {8u, 30u, 100u, 300u, 1024u}) {
    simulation::ClusterWorldOptions o;
    o.replicas = 5;
    o.gateways = gateways;
    o.leases = 20;
    o.jobs = o.readers = o.publishers = 0;
    o.duration = 10000;
    const auto begin = std::chrono::steady_clock::now();
    const simulation::ClusterWorldOutcome out = simulation::play(o);
    const double took =
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
    fmt::print(
        "{:>9} {:>12.0f} {:>22.2f} {:>16.1f}\n", gateways,
        static_cast<double>(out.messages - out.accepted_requests - out.rejected_requests) / 10,
        static_cast<double>(out.messages - out.accepted_requests - out.rejected_requests) / 10 / gateways,
        took / 10 / gateways);
  }
}
