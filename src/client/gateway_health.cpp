// Classifies connection losses and schedules the probes of an ejected gateway.
#include "client/gateway_health.h"

#include <algorithm>
#include <cmath>

namespace firvalve::client {

const char* describe(LossCause cause) {
  switch (cause) {
    case LossCause::kRefused:
      return "connection refused";
    case LossCause::kConnectTimeout:
      return "connect timeout";
    case LossCause::kClosed:
      return "closed";
    case LossCause::kReset:
      return "reset";
    case LossCause::kUnreadable:
      return "ended by a malformed message";
    case LossCause::kUnresponsive:
      return "unresponsive";
  }
  return "lost";
}

bool is_outage(const ConnectionLoss& loss, const OutageOptions& options) {
  switch (loss.cause) {
    case LossCause::kUnresponsive:
      return true;
    case LossCause::kRefused:
    case LossCause::kConnectTimeout:
      return loss.other_connections == 0;
    case LossCause::kClosed:
      if (loss.open_calls > 0) return true;
      return loss.idle < options.min_idle_before_close && loss.other_connections == 0;
    case LossCause::kReset:
    case LossCause::kUnreadable:
      return loss.open_calls >= options.min_reset_calls || loss.has_other_loss_at_gateway ||
             loss.has_loss_at_other_gateway;
  }
  return true;
}

Duration GatewayHealth::probe_spread(int failures) const {
  constexpr int kMaxDoublings = 16;
  return std::min(options_.spread * std::pow(2.0, std::min(failures - 1, kMaxDoublings)),
                  options_.max_spread);
}

void GatewayHealth::eject(TimePoint now, double draw) {
  // A gateway that fails soon after its reinstatement had not recovered, so the count continues.
  if (is_available() && failures_ > 0 && now - reinstated_at_.value_or(TimePoint()) > probe_spread(failures_))
    failures_ = 0;
  failures_ += 1;
  state_ = State::kEjected;
  probe_at_ = now + draw * probe_spread(failures_);
}

void GatewayHealth::reinstate(TimePoint now) {
  state_ = State::kAvailable;
  reinstated_at_ = now;
}

}  // namespace firvalve::client
