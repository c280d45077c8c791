// Learns the slowdown of engines and adjusts limits, backoffs and the overrun.
#include "policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/formulas.h"
#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

constexpr double kInitialThreadsPerCore = 1.5;  // all gateways together; throughput peaks near this
constexpr double kMinThreadsPerCore = 1.0;      // lower bound: all cores busy
constexpr double kMaxThreadsPerCore = 4;        // upper bound: beyond any useful limit
constexpr double kDecreaseFactor = 0.92;        // factor of the limit per decrease
constexpr Duration kDecreaseInterval = 400ms;   // between decreases: the last one must show its effect first
constexpr Duration kIncreaseInterval = 2s;  // between increases: at 200 and 800 ms increases outran decreases
// Each increase adds this share of the initial limit, at most one thread. Equal steps even out the gateways'
// shares.
constexpr double kIncreaseShare = 0.25;
constexpr double kSlowdownWeight = 0.08;    // weight of a new outcome; the mean follows within a dozen
constexpr double kMaxSlowdownWeight = 0.4;  // upper bound of one outcome's weight, however much work it was
constexpr double kMaxSlowdown = 8;          // cap on one sample
constexpr double kMemoryWaitSlowdown = 4;  // sample for a wait for memory: twice the threshold for a decrease
constexpr double kMaxProgressRatio = 4;    // times the mean; slower progress rather shows a bad plan
constexpr double kGroupWeight = 2;         // samples; an engine with few is judged by its group as well
constexpr Duration kRejectionBackoff = 250ms;  // initial; some commands finish on the engine meanwhile
constexpr Duration kMaxOverrunTime = 2s;       // times the limits; covers a few runtimes of long commands
constexpr Duration kMinRuntime = 1ms;

// A baseline learned from estimates makes the samples scatter widely. The mean is then taken of logarithms,
// as the baseline is, so that the few largest samples do not dominate it.
void update_slowdown_mean(const ProfileCosts& costs, double& mean, double sample, double weight) {
  if (costs.are_costs_reported || costs.baseline <= 0) return update_running_mean(mean, sample, weight);
  mean *= std::pow(std::max(sample, 1 / kMaxSampleRatio) / mean, weight);
}

// The first few samples of an engine form an arithmetic mean: one congested period observed there is better
// evidence than none.
double sample_weight(const Engine& engine, double weight) {
  return std::max(weight, 1 / (1 + engine.concurrency.samples));
}

// Combines an engine's mean with its group's, weighted by the engine's number of samples. A gateway that sees
// little of each engine would otherwise never move its limits, or move them by chance.
double blend_with_group(const Engine& engine, double own, double group) {
  const double samples = engine.concurrency.samples;
  return (samples * own + kGroupWeight * group) / (samples + kGroupWeight);
}

// Adds a sample from a status report. Only long-running commands send reports; their quicker siblings must
// count too, or a lowered limit would never rise again.
void add_reported_slowdown(State& state, const Command& command, double slowdown) {
  Engine& engine = state.engines[*command.attempt.engine_index];
  const ProfileCosts& costs = profile_of(state, command).costs;
  double& group = state.concurrency.groups[engine.group_index].work_slowdown;
  double& own = engine.concurrency.work_slowdown;
  update_slowdown_mean(costs, group, std::min(slowdown, kMaxProgressRatio * group), kSlowdownWeight);
  update_slowdown_mean(costs, own, std::min(slowdown, kMaxProgressRatio * own),
                       sample_weight(engine, kSlowdownWeight));
  engine.concurrency.samples += 1;
}

}  // namespace

double initial_limit(const State& state, const Engine& engine) {
  return kInitialThreadsPerCore * engine.cores / state.options.gateway_count;
}

void learn_slowdown(State& state, const Command& command, const AttemptFinished& event) {
  if (command.attempt.has_waited) return;
  const Profile& profile = profile_of(state, command);
  const ProfileCosts& costs = profile.costs;
  Engine& engine = state.engines[*command.attempt.engine_index];
  EngineGroup& group = state.concurrency.groups[engine.group_index];
  const Duration uncongested_runtime =
      event.work ? *event.work / profile.threads * std::max(1.0, costs.baseline) : command.predicted_runtime;
  const double slowdown = std::min(event.elapsed / std::max(uncongested_runtime, kMinRuntime), kMaxSlowdown);
  // The weight depends on work only if it was reported: guessed work would add noise.
  double weight = profile.threads > 1 ? kSlowdownWeight : 0;
  if (event.work)
    weight = std::min(kSlowdownWeight * *event.work / std::max(kMinRuntime, mean_recent_work(state)),
                      kMaxSlowdownWeight);
  update_slowdown_mean(costs, group.slowdown, slowdown, kSlowdownWeight);
  update_slowdown_mean(costs, group.work_slowdown, slowdown, weight);
  update_slowdown_mean(costs, engine.concurrency.slowdown, slowdown, sample_weight(engine, kSlowdownWeight));
  update_slowdown_mean(costs, engine.concurrency.work_slowdown, slowdown,
                       weight > 0 ? sample_weight(engine, weight) : 0);
  engine.concurrency.samples += 1;
}

// Detects congestion by long commands, which shows in no outcome while they run.
void learn_slowdown_from_progress(State& state, TimePoint now, const Command& command, double fraction_done) {
  const Attempt& attempt = command.attempt;
  const bool is_distorted = state.resumed_at == now;
  if (fraction_done <= 0 || attempt.has_waited || is_distorted) return;
  const Duration expected = fraction_done * std::max(kMinRuntime, command.predicted_runtime);
  const double slowdown = std::min(kMaxSlowdown, (now - attempt.started_at) / expected);
  if (slowdown > 0) add_reported_slowdown(state, command, slowdown);
}

void learn_slowdown_from_memory_wait(State& state, const Command& command) {
  add_reported_slowdown(state, command, kMemoryWaitSlowdown);
}

void update_slowdowns(State& state, TimePoint now) {
  ConcurrencyState& concurrency = state.concurrency;
  std::vector<double>& sorted = concurrency.sorted_slowdowns;
  sorted.clear();
  for (Engine& engine : state.engines) {
    decay_counts(engine, now);
    EngineConcurrency& own = engine.concurrency;
    const EngineGroup& group = concurrency.groups[engine.group_index];
    own.usual_slowdown = blend_with_group(engine, own.slowdown, group.slowdown);
    own.congestion =
        std::max(own.usual_slowdown, blend_with_group(engine, own.work_slowdown, group.work_slowdown));
    if (engine.state == EngineState::kReady) sorted.push_back(own.usual_slowdown);
  }
  std::sort(sorted.begin(), sorted.end());
  concurrency.usual_slowdown = sorted.empty() ? 1 : std::max(1.0, sorted[sorted.size() / 2]);
}

void adjust_limit(const State& state, TimePoint now, Engine& engine) {
  EngineConcurrency& concurrency = engine.concurrency;
  const Duration since_adjusted = now - concurrency.limit_adjusted_at;
  if (concurrency.congestion > kCongestionHigh && since_adjusted > kDecreaseInterval) {
    concurrency.limit *= kDecreaseFactor;
    concurrency.limit_adjusted_at = now;
  } else if (concurrency.congestion < kCongestionLow && concurrency.is_limit_reached &&
             since_adjusted > kIncreaseInterval) {
    concurrency.limit +=
        std::min(1.0, kIncreaseShare * kInitialThreadsPerCore * engine.cores / state.options.gateway_count);
    concurrency.limit_adjusted_at = now;
  }
  const double min_limit = kMinThreadsPerCore * engine.cores / state.options.gateway_count;
  concurrency.limit = std::clamp(concurrency.limit, min_limit, kMaxThreadsPerCore * engine.cores);
  concurrency.is_limit_reached = false;
}

// Without a backoff, engines that reject immediately would use up every retry: they have no work in flight
// and would be chosen first each time.
void update_rejection_backoff(Engine& engine, TimePoint now, Outcome outcome) {
  if (outcome == Outcome::kQueueFull) engine.concurrency.limit *= kDecreaseFactor;
  if (outcome == Outcome::kQueueFull || outcome == Outcome::kConnectFailed) {
    engine.backoff.min_memory_mb = 0;
    engine.backoff.until = now + next_backoff(kRejectionBackoff, engine.backoff.consecutive_rejections);
  } else if (outcome != Outcome::kCancelledBeforeStart) {
    engine.backoff.consecutive_rejections = 0;
  }
}

void back_off_for_memory(Engine& engine, TimePoint now, double memory_mb) {
  engine.backoff.until = now + kRejectionBackoff;
  engine.backoff.min_memory_mb = memory_mb;
}

bool is_backing_off(const Engine& engine, TimePoint now, const Command& command) {
  return now < engine.backoff.until && command.request.estimated_memory_mb >= engine.backoff.min_memory_mb;
}

// Where many gateways have a small share of each engine, the one attempt that each may always run adds up to
// congestion that no lower limit resolves. Waiting out the overrun prevents that. It changes nothing where a
// gateway's share holds more than one attempt; a gateway with far more traffic than its neighbours is held to
// its limits.
void update_overrun(State& state, TimePoint now) {
  ConcurrencyState& concurrency = state.concurrency;
  const Duration passed = std::min(now - std::exchange(concurrency.overrun_updated_at, now), kMaxOverrunTime);
  for (const bool is_in_pool : {false, true}) {
    double limit = 0, in_flight = 0;  // threads
    for (const Engine& engine : state.engines) {
      if (engine.is_in_pool != is_in_pool) continue;
      in_flight += engine.in_flight.threads - engine.in_flight.short_threads;
      if (engine.state == EngineState::kReady && !engine.outlier.is_ejected)
        limit += engine.concurrency.limit * warm_share(state, engine, now);
    }
    Duration& overrun = concurrency.overrun[is_in_pool];
    overrun = std::clamp(overrun + (in_flight - limit) * passed, Duration{}, limit * kMaxOverrunTime);
  }
}

}  // namespace firvalve
