// Runs the client loss trial: a gateway is killed and restarted while clients keep calling.
#include "loadtest/client_loss.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <thread>
#include <vector>

#include "base/monotonic_clock.h"
#include "client/client.h"
#include "fakes/fake_gateway.h"

namespace firvalve::loadtest {
namespace {

constexpr Ms kWindow = 1000;
constexpr Ms kCallTimeout = 2000;
constexpr Ms kLookEvery = 5, kProgressEvery = 2000;

// Returns the sorted accept times in [from, until) at the given gateways.
std::vector<Ms> accepted_between(const std::vector<const fakes::FakeGateway*>& gateways, Ms from, Ms until) {
  std::vector<Ms> out;
  for (const fakes::FakeGateway* const gateway : gateways)
    for (const Ms at : gateway->accepted_at())
      if (from <= at && at < until) out.push_back(at);
  std::sort(out.begin(), out.end());
  return out;
}

// Returns the largest number of times within any kWindow. `times` must be sorted.
size_t busiest_second(const std::vector<Ms>& times) {
  size_t most = 0, first = 0;
  for (size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= kWindow) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

// Clients that call independently, with exponentially distributed gaps between calls (a Poisson process).
class Clients {
 public:
  Clients(const ClientLossOptions& options, const std::vector<std::string>& gateways)
      : gap_(options.rate / 1000), chance_(options.seed) {
    for (int i = 0; i < options.clients; ++i) {
      client::Options one;
      one.gateways = gateways;
      one.seed = options.seed * 1000003 + static_cast<uint64_t>(i);
      clients_.push_back(std::make_unique<client::Client>(one));
      next_call_.push_back(monotonic_ms() + gap_(chance_));
    }
  }
  void call_until(Ms until, const Progress& progress) {
    while (monotonic_ms() < until) {
      for (size_t i = 0; i < clients_.size(); ++i)
        if (next_call_[i] <= monotonic_ms()) call(i);
      progress_if_due(progress);
      std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(kLookEvery));
    }
  }
  client::Stats stats() const {
    client::Stats sum;
    for (const auto& one : clients_) {
      const client::Stats stats = one->stats();
      sum.calls += stats.calls;
      sum.answered += stats.answered;
    }
    return sum;
  }

 private:
  void call(size_t i) {
    next_call_[i] += gap_(chance_);
    client::Command command;
    command.profile = "lookup";
    command.statement = "select 1";
    command.timeout_ms = kCallTimeout;
    command.effect = client::Effect::kReplayable;
    clients_[i]->send(command);
  }
  // Reports progress every kProgressEvery. Throws ScaleError after an interrupt, which ends the run.
  void progress_if_due(const Progress& progress) {
    if (monotonic_ms() < next_progress_) return;
    next_progress_ = monotonic_ms() + kProgressEvery;
    progress(fmt::format("loss: {} clients, {} calls", clients_.size(), stats().calls));
  }

  std::vector<std::unique_ptr<client::Client>> clients_;
  std::vector<Ms> next_call_;
  std::exponential_distribution<double> gap_;  // ms
  pcg32 chance_;
  Ms next_progress_ = 0;
};

}  // namespace

ClientLossResult try_client_loss(const ClientLossOptions& options, const Progress& progress) {
  if (options.clients < 1) throw ScaleError("no client that could lose its gateway");
  fakes::FakeHost host;
  fakes::FakeGateway lost(host), left(host), also_left(host);
  Clients clients(options, {lost.address(), left.address(), also_left.address()});
  const Ms began = monotonic_ms();
  clients.call_until(began + options.rest, progress);

  const Ms lost_at = monotonic_ms();
  const client::Stats before = clients.stats();
  lost.kill(true);
  clients.call_until(lost_at + options.down, progress);
  const Ms back_at = monotonic_ms();
  lost.restart();
  clients.call_until(back_at + options.back, progress);
  const Ms end = monotonic_ms();
  const client::Stats after = clients.stats();

  const std::vector<const fakes::FakeGateway*> survivors = {&left, &also_left};
  // Clients open their first connections in the first half of the rest period; only the second half counts.
  const std::vector<Ms> at_rest = accepted_between(survivors, began + options.rest / 2, lost_at);
  ClientLossResult result;
  result.rest_connects = static_cast<double>(at_rest.size()) * 1000 / (options.rest / 2);
  result.peak_connects = static_cast<double>(busiest_second(accepted_between(survivors, lost_at, back_at)));
  result.return_peak = static_cast<double>(busiest_second(accepted_between({&lost}, back_at, end)));
  const auto calls = static_cast<double>(after.calls - before.calls);
  result.answered_part = calls > 0 ? static_cast<double>(after.answered - before.answered) / calls : 0;
  return result;
}

}  // namespace firvalve::loadtest
