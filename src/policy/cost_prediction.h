// Cost prediction: how much work a command will be, and how long it will run on an engine by itself.
//
// Clients send estimates that are off by a factor that each profile has of its own. The policy learns that
// factor as a running mean of actual over estimated work. Without estimates it predicts the mean of the work
// that answers report; where neither is there, the factor corrects a constant.
//
// Work is in thread-milliseconds (all threads together, as Duration), runtimes are in milliseconds.
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

// A single outcome is taken for no more than so many times a mean, and no less than one part in so many.
constexpr double kRatioMax = 20;

// Learned per profile. A mean of zero has no sample yet.
struct ProfileCosts {
  double correction = 0;            // running mean of actual over estimated work
  Duration mean_predicted_work{};   // running mean
  Duration mean_actual_work{};      // running mean, for commands without an estimate
  bool are_costs_reported = false;  // answers say what the command cost
  // The baseline is the ratio of runtime x threads to work (reported, or else estimated) on an engine that is
  // not congested: the quickest window of outcomes so far, slowly forgotten. Slowdowns are measured by it.
  double baseline = 0;
  bool is_baseline_measured = false;  // a whole window was seen; before, it is a guess
  double window_log_sum = 0;          // of the current window
  int window_count = 0;
};

struct CostPredictionState {
  // The top share of recent predictions counts as heavy.
  std::vector<Duration> recent_work, sorted_work;  // a ring buffer; scratch
  size_t recent_next = 0;
  std::optional<Duration> heavy_from;  // none: too few predictions yet
  Duration heavy_work{}, all_work{};   // fading sums of predicted work
};

// Sets predicted_work, predicted_runtime and is_heavy of a new command.
void predict_cost(State& state, Command& command);

// Takes the largest predictions of late for heavy ones.
void update_heavy_threshold(State& state);

// Learn from an attempt that ended well: first the work, then the baseline.
void learn_work(State& state, const Command& command, const AttemptFinished& event);
void learn_baseline(State& state, const Command& command, const AttemptFinished& event);

// The mean predicted work of the recent commands of all profiles.
Duration mean_recent_work(const State& state);

// Predicted on an engine as congested as it is. Guards against estimates far too low: few commands of a
// profile are much quicker than its mean.
Duration usual_runtime(const State& state, const Command& command, const Engine& engine);

}  // namespace firvalve
