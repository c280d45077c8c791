#include "client/outage.h"

#include <algorithm>
#include <cmath>

namespace firvalve::client {

bool is_outage(const Loss& l, const SpreadOptions& terms) {
  switch (l.how) {
    case Loss::How::kSilent:
      return true;
    case Loss::How::kRefused:
    case Loss::How::kNeverUp:
      return l.others_up == 0;
    case Loss::How::kClosed:
      if (l.calls > 0) return true;
      return l.rested < terms.idle_close && l.others_up == 0;
    case Loss::How::kReset:
    case Loss::How::kSpoilt:
      return l.calls >= terms.many || l.gateway_lost || l.others_lost;
  }
  return true;
}

void Standing::leave(Ms now, double draw) {
  constexpr int kDoublingsMost = 16;
  const auto width = [&](int failures) {
    return std::min(terms_.spread * std::pow(2.0, std::min(failures - 1, kDoublingsMost)),
                    terms_.spread_most);
  };
  // A gateway that comes up and goes at once has not come back.
  if (phase_ == Phase::kWell && failures_ > 0 && now - well_since_ > width(failures_)) failures_ = 0;
  failures_ += 1;
  phase_ = Phase::kLeft;
  try_at_ = now + draw * width(failures_);
}

void Standing::came_back(Ms now) {
  phase_ = Phase::kWell;
  well_since_ = now;
}

}  // namespace firvalve::client
