#include "policy/cost_prediction.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "policy/formulas.h"
#include "policy/state.h"

namespace firvalve {
namespace {

constexpr double kMeanWeight = 0.03;  // of a new outcome in a running mean: some 30 outcomes
constexpr int kBaselineWindow = 20;   // outcomes whose mean is one reading of the baseline
constexpr double kBaselineGuessWeight =
    3;                                   // outcomes that the guess of 1 counts for, until the first reading
constexpr double kBaselineDrift = 1.01;  // a window: it is forgotten within some hundred windows
constexpr size_t kRecentMax = 512;       // commands; the top share is taken among these
constexpr size_t kRecentMin = 32;        // commands; fewer give no top share
constexpr double kHeavyShare = 0.01;     // of commands: the design's start
constexpr double kWorkFade = 0.998;      // a command; heavy and all work are summed over some 500
constexpr Duration kUnknownWork{100};    // before anything is known of a profile
constexpr Duration kWorkMin{1};

// The work that outcomes correct.
Duration uncorrected_work(const Profile& profile, const Command& command) {
  if (command.request.estimated_work) return *command.request.estimated_work;
  const ProfileCosts& costs = profile.costs;
  return costs.are_costs_reported && costs.mean_actual_work > Duration{} ? costs.mean_actual_work
                                                                         : kUnknownWork;
}

bool is_corrected(const Profile& profile, const Command& command) {
  return command.request.estimated_work || !profile.costs.are_costs_reported;
}

// Actual over uncorrected work, within what a single outcome may tell; 0: it tells nothing.
double correction_sample(const Profile& profile, const Command& command, Duration actual_work) {
  if (!is_corrected(profile, command)) return 0;
  const double ratio_max = command.request.estimated_work ? kRatioMax : kRatioMax * kRatioMax;
  return std::clamp(actual_work / uncorrected_work(profile, command), 1 / ratio_max, ratio_max);
}

Duration actual_work_of(const Profile& profile, const AttemptFinished& event) {
  return event.work ? *event.work : event.elapsed * profile.threads;
}

void add_to_baseline(ProfileCosts& costs, double ratio) {
  costs.window_log_sum += std::log(ratio);
  costs.window_count += 1;
  if (!costs.is_baseline_measured)
    costs.baseline = std::exp(costs.window_log_sum / (costs.window_count + kBaselineGuessWeight));
  if (costs.window_count < kBaselineWindow) return;
  const double mean = std::exp(costs.window_log_sum / kBaselineWindow);
  costs.baseline = costs.is_baseline_measured ? std::min(mean, costs.baseline * kBaselineDrift) : mean;
  costs.is_baseline_measured = true;
  costs.window_log_sum = costs.window_count = 0;
}

}  // namespace

void predict_cost(State& state, Command& command) {
  CostPredictionState& prediction = state.cost_prediction;
  Profile& profile = profile_of(state, command);
  ProfileCosts& costs = profile.costs;
  const Duration uncorrected = uncorrected_work(profile, command);
  const double correction = is_corrected(profile, command) && costs.correction > 0 ? costs.correction : 1;
  command.predicted_work = std::max(kWorkMin, uncorrected * correction);
  Duration by_itself = command.predicted_work;  // runtime x threads
  if (costs.are_costs_reported)
    by_itself = command.predicted_work * std::max(1.0, costs.baseline);
  else if (costs.baseline > 0)
    by_itself = uncorrected * costs.baseline;
  command.predicted_runtime = by_itself / profile.threads;
  blend(costs.mean_predicted_work, command.predicted_runtime * profile.threads, kMeanWeight);
  if (prediction.recent_work.size() < kRecentMax) prediction.recent_work.emplace_back();
  prediction.recent_work[prediction.recent_next++ % kRecentMax] = command.predicted_work;
  command.is_heavy =
      profile.is_load || (prediction.heavy_from && command.predicted_work >= *prediction.heavy_from);
  prediction.all_work = prediction.all_work * kWorkFade + command.predicted_work;
  prediction.heavy_work =
      prediction.heavy_work * kWorkFade + (command.is_heavy ? command.predicted_work : Duration{});
}

void update_heavy_threshold(State& state) {
  CostPredictionState& prediction = state.cost_prediction;
  std::vector<Duration>& sorted = prediction.sorted_work;
  if (prediction.recent_work.size() < kRecentMin) return;
  sorted = prediction.recent_work;
  const size_t heavy_count =
      std::max<size_t>(1, static_cast<size_t>(kHeavyShare * static_cast<double>(sorted.size())));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(heavy_count - 1),
                   sorted.end(), std::greater<>());
  prediction.heavy_from = sorted[heavy_count - 1];
}

void learn_work(State& state, const Command& command, const AttemptFinished& event) {
  Profile& profile = profile_of(state, command);
  const Duration actual_work = actual_work_of(profile, event);
  blend(profile.costs.mean_actual_work, actual_work, kMeanWeight);
  const double ratio = correction_sample(profile, command, actual_work);
  if (ratio > 0) blend(profile.costs.correction, ratio, kMeanWeight);
}

// Guards against calling congestion normal: where the answer reports no cost, latency stands in for it, and
// its mean rises with the congestion that it should show. The quickest window of outcomes is the baseline.
void learn_baseline(State& state, const Command& command, const AttemptFinished& event) {
  Profile& profile = profile_of(state, command);
  const double ratio = event.work ? event.elapsed * profile.threads / *event.work
                                  : correction_sample(profile, command, actual_work_of(profile, event));
  if (ratio > 0) add_to_baseline(profile.costs, ratio);
}

Duration mean_recent_work(const State& state) { return state.cost_prediction.all_work * (1 - kWorkFade); }

Duration usual_runtime(const State& state, const Command& command, const Engine& engine) {
  const Profile& profile = profile_of(state, command);
  return std::max(command.predicted_runtime, profile.costs.mean_predicted_work / profile.threads) *
         std::max(1.0, engine.concurrency.usual_slowdown);
}

}  // namespace firvalve
