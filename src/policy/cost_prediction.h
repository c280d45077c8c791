// Cost prediction: predicts the work of a command and its runtime on an uncongested engine.
//
// Client estimates are off by a factor that differs by profile. The policy learns the factor as a running
// mean of actual over estimated work. Without estimates it predicts the mean of the work that answers report;
// where neither is available, the factor corrects a constant.
//
// Work is in thread-milliseconds (summed over all threads, as Duration), runtimes are in milliseconds.
#pragma once

#include <optional>
#include <vector>

#include "base/time.h"

namespace firvalve {

struct AttemptFinished;
struct Command;
struct Engine;
struct Profile;
struct State;

// A single sample counts as at most this many times a mean, and at least the reciprocal.
constexpr double kMaxSampleRatio = 20;

// Learned per profile. A mean of zero has no samples yet.
struct ProfileCosts {
  double correction = 0;            // running mean of actual over estimated work
  Duration mean_predicted_work{};   // running mean
  Duration mean_actual_work{};      // running mean, for commands without an estimate
  bool are_costs_reported = false;  // answers report the command's cost
  // The baseline is the ratio of runtime x threads to work (reported, or else estimated) on an uncongested
  // engine: the lowest mean of a window of outcomes so far, raised slowly so that old windows are forgotten.
  // Slowdowns are measured relative to it.
  double baseline = 0;
  bool is_baseline_measured = false;  // a full window was seen; until then the baseline is a guess
  double window_log_sum = 0;          // sum of the logarithms in the current window
  int window_count = 0;
};

// State over all profiles.
struct CostPredictionState {
  // The largest recent predictions count as heavy.
  std::vector<Duration> recent_work, sorted_work;  // ring buffer; scratch
  size_t recent_write_index = 0;
  std::optional<Duration> heavy_threshold;  // empty while there are too few predictions
  Duration heavy_work{}, all_work{};        // decaying sums of predicted work
};

// Sets predicted_work, predicted_runtime and is_heavy of a new command.
void predict_cost(State& state, Command& command);

// Sets the threshold for heavy commands from the largest recent predictions.
void update_heavy_threshold(State& state);

// Learn from a successful attempt: first the work, then the baseline.
void learn_work(State& state, const Command& command, const AttemptFinished& event);
void learn_baseline(State& state, const Command& command, const AttemptFinished& event);

// The mean predicted work of the recent commands of all profiles.
Duration mean_recent_work(const State& state);

// Returns the runtime to expect on the engine at its current congestion. It is at least that of the profile's
// mean, because an estimate may be far too low and few commands are much quicker than the mean.
Duration usual_runtime(const State& state, const Command& command, const Engine& engine);

}  // namespace firvalve
