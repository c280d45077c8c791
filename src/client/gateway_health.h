// Whether a gateway may be used: tells one lost connection from an outage of the gateway, and decides when an
// ejected gateway is probed. No clock, no I/O, no random numbers of its own.
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
  kRefused,         // nothing listens there
  kConnectTimeout,  // it was not up within the connect timeout
  kClosed,          // in order, by the gateway
  kReset,
  kUnreadable,    // what came over it is not the protocol
  kUnresponsive,  // a heartbeat was not answered
};
const char* describe(LossCause cause);  // in a few words, for logs

// What is known of a connection at its end.
struct ConnectionLoss {
  LossCause cause = LossCause::kReset;
  int open_calls = 0;                      // calls in flight on it
  int other_connections = 0;               // to the same gateway, that are up
  bool has_other_loss_at_gateway = false;  // this gateway lost another connection at the same time
  bool has_loss_at_other_gateway = false;  // another gateway lost one at the same time
  Duration idle{0};                        // since anything passed on it
};

struct OutageOptions {
  Duration spread{4000};       // over which clients come back after an outage; doubled with each failed probe
  Duration max_spread{30000};  // where the doubling ends
  int min_reset_calls = 3;     // lost at once with a reset: more than one connection's bad luck
  Duration correlation_window{200};      // losses within it are taken to have one cause
  Duration min_idle_before_close{3500};  // a gateway may close what was idle so long; nothing has failed then
};

// A single loss reconnects at once. An outage is met by many clients together, and each must come back at a
// moment of its own.
//   - refused, timed out: nothing listens there, or nothing answers.
//   - closed with calls open, or before it was idle: by the protocol a gateway closes only connections
//   without
//     open calls that were idle, so this one is shutting down.
//   - reset with many calls, or beside another loss: the machine or the network failed, not one connection.
// Harm: a gateway that closes connections for want of descriptors is left alone for up to `spread`, which is
// what it needs; a client with no other gateway refuses calls for that time.
bool is_outage(const ConnectionLoss& loss, const OutageOptions& options);

class GatewayHealth {
 public:
  enum class State { kAvailable, kEjected, kProbing };

  explicit GatewayHealth(const OutageOptions& options) : options_(options) {}
  State state() const { return state_; }
  bool is_available() const { return state_ == State::kAvailable; }
  bool is_ejected() const { return state_ == State::kEjected; }
  TimePoint probe_at() const { return probe_at_; }  // while ejected

  // Ejects the gateway. It is probed at a moment within the spread: `draw` in [0, 1) of it.
  void eject(TimePoint now, double draw);
  void start_probe() { state_ = State::kProbing; }
  void reinstate(TimePoint now);

 private:
  Duration probe_spread(int failures) const;

  OutageOptions options_;
  State state_ = State::kAvailable;
  TimePoint probe_at_;
  std::optional<TimePoint> reinstated_at_;
  int failures_ = 0;  // in a row; forgotten once it stayed available for longer than the last spread
};

}  // namespace firvalve::client
