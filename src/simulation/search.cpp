#include "simulation/search.h"

#include <fmt/format.h>

#include <cmath>

namespace firvalve::simulation {

std::string Search::handle(const StepOutcome& o) {
  std::string why;
  ++played_;
  // Guards against blaming the service for a tool that could not ask in time: nothing is learned of the
  // service then, and no higher rate can be asked.
  if (o.lag_p99 > options_.lag_most || o.cpu > options_.cpu_most) {
    tool_ = done_ = true;
    return o.lag_p99 > options_.lag_most
               ? fmt::format("the tool was the limit: it sent {:.1f} ms late", o.lag_p99)
               : fmt::format("the tool was the limit: it used {:.1f} cores", o.cpu);
  }
  if (o.answered < options_.answered_least)
    why = fmt::format("{:.1f} in 100 answered", 100 * o.answered);
  else if (o.p99 > options_.p99_most)
    why = fmt::format("99 in 100 within {:.0f} ms", o.p99);
  if (why.empty()) {
    held_ = std::max(held_, o.rate);
  } else {
    broke_ = broke_ > 0 ? std::min(broke_, o.rate) : o.rate;
  }
  if (broke_ == 0) {
    rate_ = held_ * options_.factor;
  } else {
    rate_ = held_ > 0 ? std::sqrt(held_ * broke_) : broke_ / options_.factor;
  }
  done_ =
      played_ >= options_.steps || (held_ > 0 && broke_ > 0 && broke_ <= held_ * options_.close) || rate_ < 1;
  return why;
}

}  // namespace firvalve::simulation
