#include "policy/engine_pool.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "policy/formulas.h"
#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

// The design's figures.
constexpr size_t kPoolMin = 2;            // engines
constexpr double kRejectedShare = 0.2;    // of recent attempts in the pool that end full or timed out
constexpr double kAttemptsMin = 20;       // before that share is believed
constexpr Duration kOutcomeWindow = 10s;  // over which they are counted (as a fading count)

std::optional<size_t> find_pool_zone(State& state) {
  EnginePoolState& pool = state.pool;
  pool.zone_counts.assign(state.zones.size(), 0);
  for (const size_t place : pool.ready) ++pool.zone_counts[state.engines[place].zone_index];
  const auto fits = [&](size_t place) {
    const size_t count = pool.zone_counts[state.engines[place].zone_index];
    ++pool.engines_examined;
    return count >= kPoolMin && count < pool.ready.size();
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
                    std::min(kPoolMin, ready), ready);
}

}  // namespace

void update_pool(State& state) {
  std::vector<size_t>& ready = state.pool.ready;
  ready.clear();
  for (size_t place = 0; place < state.engines.size(); ++place) {
    state.engines[place].is_in_pool = false;
    if (state.engines[place].state == EngineState::kReady) ready.push_back(place);
  }
  if (ready.empty()) return;
  if (const std::optional<size_t> zone = find_pool_zone(state)) {
    for (const size_t place : ready)
      state.engines[place].is_in_pool = state.engines[place].zone_index == *zone;
  } else {
    for (size_t i = ready.size() - pool_size_by_work(state); i < ready.size(); ++i)
      state.engines[ready[i]].is_in_pool = true;
  }
  for (Engine& engine : state.engines)
    engine.group = 2 * engine.machine_type_index + (engine.is_in_pool ? 1 : 0);
  update_heavy_threshold(state);
}

void fade_pool_counts(State& state, TimePoint now) {
  const double factor = fading_factor(state.pool.counted_at, now, kOutcomeWindow);
  state.pool.heavy_attempts *= factor;
  state.pool.heavy_rejections *= factor;
}

void count_pool_outcome(State& state, Outcome outcome) {
  state.pool.heavy_attempts += 1;
  if (outcome == Outcome::kQueueFull || outcome == Outcome::kTimedOut) state.pool.heavy_rejections += 1;
}

bool is_pool_overloaded(const State& state) {
  const EnginePoolState& pool = state.pool;
  return pool.heavy_attempts >= kAttemptsMin && pool.heavy_rejections >= kRejectedShare * pool.heavy_attempts;
}

}  // namespace firvalve
