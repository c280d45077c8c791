// Health of one gateway: distinguishes a lost connection from an outage, and decides when an ejected gateway
// is probed. No I/O; time and random numbers are parameters.
//
//                  outage                        time of the probe
//   available  ------------->  ejected  ---------------------------->  probing
//       ^                         ^                                     |   |
//       |                         |  probe failed                       |   |
//       |                         +-------------------------------------+   |
//       +--------------------  heartbeat says healthy  ---------------------+
#pragma once

#include <optional>

#include "base/time.h"

namespace firvalve::client {

// Why a connection ended.
enum class LossCause {
  kRefused,         // nothing listens at the address
  kConnectTimeout,  // not connected within the connect timeout
  kClosed,          // closed by the gateway, without a reset
  kReset,
  kUnreadable,    // received data violates the protocol
  kUnresponsive,  // a heartbeat request timed out
};
const char* describe(LossCause cause);  // short text for logs

// Circumstances of a lost connection.
struct ConnectionLoss {
  LossCause cause = LossCause::kReset;
  int open_calls = 0;                      // in flight on the connection
  int other_connections = 0;               // established connections to the same gateway
  bool has_other_loss_at_gateway = false;  // within the correlation window
  bool has_loss_at_other_gateway = false;  // within the correlation window
  Duration idle{0};                        // since the last send or receive on the connection
};

struct OutageOptions {
  // After an outage, clients reconnect at a random time within the spread. It doubles with each failed probe.
  Duration spread{4000};
  Duration max_spread{30000};            // upper limit of the doubled spread
  int min_reset_calls = 3;               // a reset that loses this many calls is an outage
  Duration correlation_window{200};      // losses within it are attributed to one cause
  Duration min_idle_before_close{3500};  // a close by the gateway after this idle time is normal
};

// After a single loss the client reconnects at once. An outage hits many clients together, so each of them
// must reconnect at a different time. A loss is an outage if the connection was:
//   - refused or timed out, with no other connection to the gateway: no answer to the connect;
//   - closed with calls open, or closed before it was idle: the protocol lets a gateway close only idle
//     connections without open calls, so this gateway is shutting down;
//   - reset with many calls open, or at the same time as another loss: the machine or the network failed;
//   - unresponsive.
// Side effect: a gateway that closes connections because it is out of descriptors gets no calls for up to
// `spread`, which helps it; a client without another gateway refuses calls for that time.
bool is_outage(const ConnectionLoss& loss, const OutageOptions& options);

class GatewayHealth {
 public:
  enum class State { kAvailable, kEjected, kProbing };

  explicit GatewayHealth(const OutageOptions& options) : options_(options) {}
  State state() const { return state_; }
  bool is_available() const { return state_ == State::kAvailable; }
  bool is_ejected() const { return state_ == State::kEjected; }
  TimePoint probe_at() const { return probe_at_; }  // while ejected

  // Ejects the gateway and schedules a probe after `draw`, in [0, 1), of the spread.
  void eject(TimePoint now, double draw);
  void start_probe() { state_ = State::kProbing; }
  void reinstate(TimePoint now);

 private:
  Duration probe_spread(int failures) const;

  OutageOptions options_;
  State state_ = State::kAvailable;
  TimePoint probe_at_;
  std::optional<TimePoint> reinstated_at_;
  int failures_ = 0;  // consecutive; reset once the gateway was available for longer than the last spread
};

}  // namespace firvalve::client
