// Searches for the highest request rate that a service sustains: raises the rate by a factor while its
// objectives are met, then tries the geometric mean of the highest rate that passed and the lowest that
// failed. No I/O and no clock: the caller runs each step and passes its outcome.
#pragma once

#include <string>

#include "base/units.h"

namespace firvalve::simulation {

struct StepOutcome {
  double rate = 0;      // requests a second that were intended
  double answered = 0;  // share of the requests
  Ms p99 = 0;           // latency of the answered ones, from the intended start
  Ms lag_p99 = 0;       // delay of the load generator itself after the intended start
  double cpu = 0;       // cores that the load generator used
};

struct SearchOptions {
  double first = 100, factor = 1.5;  // initial rate, and the factor between steps
  int max_steps = 12;                // in total
  double max_ratio = 1.1;            // of the lowest failed to the highest passed rate, to stop
  double min_answered = 0.99;
  Ms max_p99 = 1000;
  Ms max_lag = 5;      // above it the load generator was the limit
  double max_cpu = 1;  // cores; above it the load generator was the limit
};

class Search {
 public:
  explicit Search(const SearchOptions& options) : options_(options), rate_(options.first) {}
  bool done() const { return done_; }
  double rate() const { return rate_; }  // of the next step
  // Takes the outcome of a step. Returns the reason why it failed; empty if it passed.
  std::string handle(const StepOutcome& outcome);
  // The highest rate that passed and the lowest that failed; 0 if there is none.
  double max_passed() const { return max_passed_; }
  double min_failed() const { return min_failed_; }
  bool generator_was_limit() const { return generator_was_limit_; }

 private:
  SearchOptions options_;
  double rate_, max_passed_ = 0, min_failed_ = 0;
  int steps_ = 0;
  bool done_ = false, generator_was_limit_ = false;
};

}  // namespace firvalve::simulation
