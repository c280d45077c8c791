#include "simulation/search.h"

#include <fmt/format.h>

#include <cmath>

namespace firvalve::simulation {

std::string Search::handle(const StepOutcome& o) {
  std::string why;
  ++steps_;
  // A load generator that cannot send in time says nothing about the service and cannot reach a higher rate:
  // the search ends without a verdict on the service.
  if (o.lag_p99 > options_.max_lag || o.cpu > options_.max_cpu) {
    generator_was_limit_ = done_ = true;
    return o.lag_p99 > options_.max_lag
               ? fmt::format("the load generator was the limit: it sent {:.1f} ms late", o.lag_p99)
               : fmt::format("the load generator was the limit: it used {:.1f} cores", o.cpu);
  }
  if (o.answered < options_.min_answered)
    why = fmt::format("{:.1f}% answered", 100 * o.answered);
  else if (o.p99 > options_.max_p99)
    why = fmt::format("99th percentile of the latency is {:.0f} ms", o.p99);
  if (why.empty()) {
    max_passed_ = std::max(max_passed_, o.rate);
  } else {
    min_failed_ = min_failed_ > 0 ? std::min(min_failed_, o.rate) : o.rate;
  }
  if (min_failed_ == 0) {
    rate_ = max_passed_ * options_.factor;
  } else {
    rate_ = max_passed_ > 0 ? std::sqrt(max_passed_ * min_failed_) : min_failed_ / options_.factor;
  }
  done_ = steps_ >= options_.max_steps ||
          (max_passed_ > 0 && min_failed_ > 0 && min_failed_ <= max_passed_ * options_.max_ratio) ||
          rate_ < 1;
  return why;
}

}  // namespace firvalve::simulation
