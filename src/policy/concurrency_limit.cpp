#include "policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/formulas.h"
#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

constexpr double kInitialThreadsPerCore = 1.5;  // all gateways together: near where work done peaks
constexpr double kMinThreadsPerCore = 1.0;      // all cores busy, never less
constexpr double kMaxThreadsPerCore = 4;        // past any useful limit
constexpr double kDecreaseFactor = 0.92;        // a step down
constexpr Duration kDecreaseInterval = 400ms;   // between steps down: the cut must show first
constexpr Duration kIncreaseInterval = 2s;      // between steps up: at 200 and 800 they outran the cuts
constexpr double kIncreaseShare = 0.25;  // of the initial limit: a step up, one thread at most, alike for all
constexpr double kSlowdownWeight = 0.08;       // of a new outcome: follows within a dozen
constexpr double kSlowdownWeightMax = 0.4;     // of one outcome at most, however much work it was
constexpr double kSlowdownMax = 8;             // one sample tells no more
constexpr double kMemoryWaitSlowdown = 4;      // what a wait for memory counts as: twice the mark to cut at
constexpr double kProgressRatioMax = 4;        // times the mean: a slower pace is more likely a bad plan
constexpr double kGroupWeight = 2;             // samples: an engine with fewer is judged by its group as well
constexpr Duration kRejectionBackoff = 250ms;  // the first: some commands end there within it
constexpr Duration kOverrunMax = 2s;           // of the limits that may be owed: some long commands' time
constexpr Duration kRuntimeMin = 1ms;

// Measured by a baseline of estimates the samples scatter widely: there the mean is one of logarithms, as the
// baseline is, so that the few largest do not make it.
void blend_slowdown(const ProfileCosts& costs, double& mean, double sample, double weight) {
  if (costs.are_costs_reported || costs.baseline <= 0) return blend(mean, sample, weight);
  mean *= std::pow(std::max(sample, 1 / kRatioMax) / mean, weight);
}

// The first few samples of an engine count as their mean: one bad period there tells more than none.
double own_weight(const Engine& engine, double weight) {
  return std::max(weight, 1 / (1 + engine.concurrency.samples));
}

// Guards against limits that never move, or by chance, where a gateway sees little of each engine: with few
// samples of its own an engine is taken to be as congested as its group.
double with_group(const Engine& engine, double own, double group) {
  const double samples = engine.concurrency.samples;
  return (samples * own + kGroupWeight * group) / (samples + kGroupWeight);
}

// Of a status report. The commands that report are those that last: their quicker siblings must count, too,
// or a limit once cut stays cut.
void blend_report(State& state, const Command& command, double slowdown) {
  Engine& engine = state.engines[*command.attempt.engine];
  const ProfileCosts& costs = profile_of(state, command).costs;
  double& group = state.concurrency.groups[engine.group].work_slowdown;
  double& own = engine.concurrency.work_slowdown;
  blend_slowdown(costs, group, std::min(slowdown, kProgressRatioMax * group), kSlowdownWeight);
  blend_slowdown(costs, own, std::min(slowdown, kProgressRatioMax * own),
                 own_weight(engine, kSlowdownWeight));
  engine.concurrency.samples += 1;
}

}  // namespace

double initial_limit(const State& state, const Engine& engine) {
  return kInitialThreadsPerCore * engine.cores / state.options.gateways;
}

void learn_slowdown(State& state, const Command& command, const AttemptFinished& event) {
  if (command.attempt.has_waited) return;
  const Profile& profile = profile_of(state, command);
  const ProfileCosts& costs = profile.costs;
  Engine& engine = state.engines[*command.attempt.engine];
  EngineGroup& group = state.concurrency.groups[engine.group];
  const Duration by_itself =
      event.work ? *event.work / profile.threads * std::max(1.0, costs.baseline) : command.predicted_runtime;
  const double slowdown = std::min(event.elapsed / std::max(by_itself, kRuntimeMin), kSlowdownMax);
  // Work that is only guessed adds noise to the weight.
  double weight = profile.threads > 1 ? kSlowdownWeight : 0;
  if (event.work)
    weight = std::min(kSlowdownWeight * *event.work / std::max(kRuntimeMin, mean_recent_work(state)),
                      kSlowdownWeightMax);
  blend_slowdown(costs, group.slowdown, slowdown, kSlowdownWeight);
  blend_slowdown(costs, group.work_slowdown, slowdown, weight);
  blend_slowdown(costs, engine.concurrency.slowdown, slowdown, own_weight(engine, kSlowdownWeight));
  blend_slowdown(costs, engine.concurrency.work_slowdown, slowdown,
                 weight > 0 ? own_weight(engine, weight) : 0);
  engine.concurrency.samples += 1;
}

// Guards against congestion by long commands that shows in no outcome for as long as they run.
void learn_slowdown_from_progress(State& state, TimePoint now, const Command& command, double share_done) {
  const Attempt& attempt = command.attempt;
  const bool is_distorted = state.resumed_at == now;
  if (share_done <= 0 || attempt.has_waited || is_distorted) return;
  const Duration expected = share_done * std::max(kRuntimeMin, command.predicted_runtime);
  const double slowdown = std::min(kSlowdownMax, (now - attempt.started_at) / expected);
  if (slowdown > 0) blend_report(state, command, slowdown);
}

void learn_slowdown_from_memory_wait(State& state, const Command& command) {
  blend_report(state, command, kMemoryWaitSlowdown);
}

void update_slowdowns(State& state, TimePoint now) {
  ConcurrencyState& concurrency = state.concurrency;
  std::vector<double>& sorted = concurrency.sorted_slowdowns;
  sorted.clear();
  for (Engine& engine : state.engines) {
    fade_counts(engine, now);
    EngineConcurrency& own = engine.concurrency;
    const EngineGroup& group = concurrency.groups[engine.group];
    own.usual_slowdown = with_group(engine, own.slowdown, group.slowdown);
    own.congestion = std::max(own.usual_slowdown, with_group(engine, own.work_slowdown, group.work_slowdown));
    if (engine.state == EngineState::kReady) sorted.push_back(own.usual_slowdown);
  }
  std::sort(sorted.begin(), sorted.end());
  concurrency.usual_slowdown = sorted.empty() ? 1 : std::max(1.0, sorted[sorted.size() / 2]);
}

void adjust_limit(const State& state, TimePoint now, Engine& engine) {
  EngineConcurrency& own = engine.concurrency;
  const Duration since_adjusted = now - own.limit_adjusted_at;
  if (own.congestion > kCongestionHigh && since_adjusted > kDecreaseInterval) {
    own.limit *= kDecreaseFactor;
    own.limit_adjusted_at = now;
  } else if (own.congestion < kCongestionLow && own.is_limit_reached && since_adjusted > kIncreaseInterval) {
    own.limit +=
        std::min(1.0, kIncreaseShare * kInitialThreadsPerCore * engine.cores / state.options.gateways);
    own.limit_adjusted_at = now;
  }
  const double limit_min = kMinThreadsPerCore * engine.cores / state.options.gateways;
  own.limit = std::clamp(own.limit, limit_min, kMaxThreadsPerCore * engine.cores);
  own.is_limit_reached = false;
}

// Guards against spending every retry on engines that reject at once: they have no work in flight and would
// be chosen first each time.
void note_rejection_or_start(Engine& engine, TimePoint now, Outcome outcome) {
  if (outcome == Outcome::kQueueFull) engine.concurrency.limit *= kDecreaseFactor;
  if (outcome == Outcome::kQueueFull || outcome == Outcome::kConnectFailed) {
    engine.backoff.from_memory_mb = 0;
    engine.backoff.until = now + next_backoff(kRejectionBackoff, engine.backoff.rejections_in_a_row);
  } else if (outcome != Outcome::kCancelledBeforeStart) {
    engine.backoff.rejections_in_a_row = 0;
  }
}

void back_off_for_memory(Engine& engine, TimePoint now, double memory_mb) {
  engine.backoff.until = now + kRejectionBackoff;
  engine.backoff.from_memory_mb = memory_mb;
}

bool is_backing_off(const Engine& engine, TimePoint now, const Command& command) {
  return now < engine.backoff.until && command.request.estimated_memory_mb >= engine.backoff.from_memory_mb;
}

// Guards against many gateways with a small share of each engine, whose one attempt that may always run adds
// up to congestion from which no cut of a limit leads back. Where a gateway's share holds more than one
// attempt this changes nothing; one with far more traffic than its neighbours is held to its limits.
void update_overrun(State& state, TimePoint now) {
  ConcurrencyState& concurrency = state.concurrency;
  const Duration passed = std::min(now - std::exchange(concurrency.overrun_updated_at, now), kOverrunMax);
  for (const bool is_in_pool : {false, true}) {
    double limit = 0, in_flight = 0;  // threads
    for (const Engine& engine : state.engines) {
      if (engine.is_in_pool != is_in_pool) continue;
      in_flight += engine.in_flight.threads - engine.in_flight.short_threads;
      if (engine.state == EngineState::kReady && !engine.outlier.is_ejected)
        limit += engine.concurrency.limit * warm_share(state, engine, now);
    }
    Duration& overrun = concurrency.overrun[is_in_pool];
    overrun = std::clamp(overrun + (in_flight - limit) * passed, Duration{}, limit * kOverrunMax);
  }
}

}  // namespace firvalve
