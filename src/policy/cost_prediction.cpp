// Predicts costs, and learns corrections, baselines and the threshold for heavy commands.
#include "policy/cost_prediction.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "policy/formulas.h"
#include "policy/state.h"

namespace firvalve {
namespace {

constexpr double kMeanWeight = 0.03;        // weight of a new outcome in a running mean of some 30 outcomes
constexpr int kBaselineWindow = 20;         // outcomes per reading of the baseline
constexpr double kBaselineGuessWeight = 3;  // the initial guess of 1 weighs as much as this many outcomes
constexpr double kBaselineDrift = 1.01;     // per window: forgets an old reading within some hundred windows
constexpr size_t kMaxRecentPredictions = 512;  // commands among which the largest count as heavy
constexpr size_t kMinRecentPredictions = 32;   // commands; fewer set no threshold
constexpr double kHeavyShare = 0.01;           // share of commands that count as heavy
constexpr double kWorkDecay = 0.998;           // factor per command; the sums cover some 500 commands
constexpr Duration kDefaultWork{100};          // assumed before anything is known of a profile
constexpr Duration kMinWork{1};

// The work before the learned correction: the client's estimate, the mean reported work or a constant.
Duration uncorrected_work(const Profile& profile, const Command& command) {
  if (command.request.estimated_work) return *command.request.estimated_work;
  const ProfileCosts& costs = profile.costs;
  return costs.are_costs_reported && costs.mean_actual_work > Duration{} ? costs.mean_actual_work
                                                                         : kDefaultWork;
}

bool is_corrected(const Profile& profile, const Command& command) {
  return command.request.estimated_work || !profile.costs.are_costs_reported;
}

// Actual over uncorrected work, limited for a single outcome; 0 if the prediction is not corrected.
double correction_sample(const Profile& profile, const Command& command, Duration actual_work) {
  if (!is_corrected(profile, command)) return 0;
  const double max_ratio =
      command.request.estimated_work ? kMaxSampleRatio : kMaxSampleRatio * kMaxSampleRatio;
  return std::clamp(actual_work / uncorrected_work(profile, command), 1 / max_ratio, max_ratio);
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
  command.predicted_work = std::max(kMinWork, uncorrected * correction);
  Duration uncongested_thread_time = command.predicted_work;  // runtime x threads
  if (costs.are_costs_reported)
    uncongested_thread_time = command.predicted_work * std::max(1.0, costs.baseline);
  else if (costs.baseline > 0)
    uncongested_thread_time = uncorrected * costs.baseline;
  command.predicted_runtime = uncongested_thread_time / profile.threads;
  update_running_mean(costs.mean_predicted_work, command.predicted_runtime * profile.threads, kMeanWeight);
  if (prediction.recent_work.size() < kMaxRecentPredictions) prediction.recent_work.emplace_back();
  prediction.recent_work[prediction.recent_write_index++ % kMaxRecentPredictions] = command.predicted_work;
  command.is_heavy = profile.is_load ||
                     (prediction.heavy_threshold && command.predicted_work >= *prediction.heavy_threshold);
  prediction.all_work = prediction.all_work * kWorkDecay + command.predicted_work;
  prediction.heavy_work =
      prediction.heavy_work * kWorkDecay + (command.is_heavy ? command.predicted_work : Duration{});
}

void update_heavy_threshold(State& state) {
  CostPredictionState& prediction = state.cost_prediction;
  std::vector<Duration>& sorted = prediction.sorted_work;
  if (prediction.recent_work.size() < kMinRecentPredictions) return;
  sorted = prediction.recent_work;
  const size_t heavy_count =
      std::max<size_t>(1, static_cast<size_t>(kHeavyShare * static_cast<double>(sorted.size())));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(heavy_count - 1),
                   sorted.end(), std::greater<>());
  prediction.heavy_threshold = sorted[heavy_count - 1];
}

void learn_work(State& state, const Command& command, const AttemptFinished& event) {
  Profile& profile = profile_of(state, command);
  const Duration actual_work = actual_work_of(profile, event);
  update_running_mean(profile.costs.mean_actual_work, actual_work, kMeanWeight);
  const double ratio = correction_sample(profile, command, actual_work);
  if (ratio > 0) update_running_mean(profile.costs.correction, ratio, kMeanWeight);
}

// Keeps congestion from being learned as normal. Where answers report no cost, latency is used instead, and
// its mean rises with the congestion that it should reveal. So the quickest window of outcomes is the
// baseline.
void learn_baseline(State& state, const Command& command, const AttemptFinished& event) {
  Profile& profile = profile_of(state, command);
  const double ratio = event.work ? event.elapsed * profile.threads / *event.work
                                  : correction_sample(profile, command, actual_work_of(profile, event));
  if (ratio > 0) add_to_baseline(profile.costs, ratio);
}

Duration mean_recent_work(const State& state) { return state.cost_prediction.all_work * (1 - kWorkDecay); }

Duration usual_runtime(const State& state, const Command& command, const Engine& engine) {
  const Profile& profile = profile_of(state, command);
  return std::max(command.predicted_runtime, profile.costs.mean_predicted_work / profile.threads) *
         std::max(1.0, engine.concurrency.usual_slowdown);
}

}  // namespace firvalve
