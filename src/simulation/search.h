// Looks for the rate at which service breaks: up by steps while it holds, then between the last that held and
// the first that did not. No I/O, no clock: the outcome of each step comes in, the next rate goes out.
#pragma once

#include <string>

#include "base/units.h"

namespace firvalve::simulation {

struct StepOutcome {
  double rate = 0;      // asked for, a second
  double answered = 0;  // share of what was asked
  Ms p99 = 0;           // of the answered, from the intended start
  Ms lag_p99 = 0;       // by which the tool itself sent late
  double cpu = 0;       // cores that the tool used
};

struct SearchOptions {
  double first = 100, factor = 1.5;  // rates: where it begins, and times which it goes up
  int steps = 12;                    // at most, up and between together
  double close = 1.1;                // between what held and what broke: near enough
  double answered_least = 0.99;
  Ms p99_most = 1000;
  Ms lag_most = 5;      // past it the tool was the limit
  double cpu_most = 1;  // cores that the tool may use before it is taken to be the limit
};

class Search {
 public:
  explicit Search(const SearchOptions& options) : options_(options), rate_(options.first) {}
  bool done() const { return done_; }
  double rate() const { return rate_; }  // the next to try
  // What the step that was just played says; empty: service held.
  std::string handle(const StepOutcome& outcome);
  double held() const { return held_; }    // the highest rate that held; 0: none did
  double broke() const { return broke_; }  // the lowest that did not; 0: none was met
  bool tool_was_limit() const { return tool_; }

 private:
  SearchOptions options_;
  double rate_, held_ = 0, broke_ = 0;
  int played_ = 0;
  bool done_ = false, tool_ = false;
};

}  // namespace firvalve::simulation
