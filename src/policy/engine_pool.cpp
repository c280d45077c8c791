// Chooses the engines of the pool and detects its overload.
#include "policy/engine_pool.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "policy/formulas.h"
#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

constexpr size_t kMinPoolSize = 2;               // engines
constexpr double kOverloadRejectionShare = 0.2;  // share of rejected heavy attempts that shows overload
constexpr double kMinAttempts = 20;              // decayed count of attempts before that share is trusted
constexpr Duration kOutcomeWindow = 10s;         // time constant of the decaying counts

std::optional<size_t> find_pool_zone(State& state) {
  EnginePoolState& pool = state.pool;
  pool.zone_counts.assign(state.zones.size(), 0);
  for (const size_t index : pool.ready) ++pool.zone_counts[state.engines[index].zone_index];
  const auto fits = [&](size_t index) {
    const size_t count = pool.zone_counts[state.engines[index].zone_index];
    ++pool.engines_examined;
    return count >= kMinPoolSize && count < pool.ready.size();
  };
  const auto last = std::find_if(pool.ready.rbegin(), pool.ready.rend(), fits);
  if (last == pool.ready.rend()) return std::nullopt;
  return state.engines[*last].zone_index;
}

size_t pool_size_by_work(const State& state) {
  const CostPredictionState& prediction = state.cost_prediction;
  const size_t ready = state.pool.ready.size();
  const double heavy_share =
      prediction.all_work > Duration{} ? prediction.heavy_work / prediction.all_work : 0;
  return std::clamp(static_cast<size_t>(std::lround(heavy_share * static_cast<double>(ready))),
                    std::min(kMinPoolSize, ready), ready);
}

}  // namespace

void update_pool(State& state) {
  std::vector<size_t>& ready = state.pool.ready;
  ready.clear();
  for (size_t index = 0; index < state.engines.size(); ++index) {
    state.engines[index].is_in_pool = false;
    if (state.engines[index].state == EngineState::kReady) ready.push_back(index);
  }
  if (ready.empty()) return;
  if (const std::optional<size_t> zone = find_pool_zone(state)) {
    for (const size_t index : ready)
      state.engines[index].is_in_pool = state.engines[index].zone_index == *zone;
  } else {
    for (size_t i = ready.size() - pool_size_by_work(state); i < ready.size(); ++i)
      state.engines[ready[i]].is_in_pool = true;
  }
  for (Engine& engine : state.engines)
    engine.group_index = 2 * engine.machine_type_index + (engine.is_in_pool ? 1 : 0);
  update_heavy_threshold(state);
}

void decay_pool_counts(State& state, TimePoint now) {
  const double factor = decay_factor(state.pool.decayed_at, now, kOutcomeWindow);
  state.pool.heavy_attempts *= factor;
  state.pool.heavy_rejections *= factor;
}

void count_pool_outcome(State& state, Outcome outcome) {
  state.pool.heavy_attempts += 1;
  if (outcome == Outcome::kQueueFull || outcome == Outcome::kTimedOut) state.pool.heavy_rejections += 1;
}

bool is_pool_overloaded(const State& state) {
  const EnginePoolState& pool = state.pool;
  return pool.heavy_attempts >= kMinAttempts &&
         pool.heavy_rejections >= kOverloadRejectionShare * pool.heavy_attempts;
}

}  // namespace firvalve
