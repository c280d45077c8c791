// Whether a lost connection is one lost connection or an outage, and when a gateway is tried again. One
// Standing a gateway; no clock, no I/O, no random numbers of its own.
//
//              loss that is an outage                    time drawn is up
//   well  ------------------------------->  left  ----------------------->  trying
//     ^                                      ^                                |   |
//     |                                      |  trial failed                  |   |
//     |                                      +--------------------------------+   |
//     +----------------------------  heartbeat says healthy  ----------------------+
#pragma once

#include "base/units.h"

namespace firvalve::client {

// What is known of a connection at its end.
struct Loss {
  enum class How { kRefused, kNeverUp, kClosed, kReset, kSpoilt, kSilent };
  How how = How::kReset;
  int calls = 0;              // that were open on it
  int others_up = 0;          // other connections to the same gateway that are up
  bool gateway_lost = false;  // this gateway lost another one within `together`
  bool others_lost = false;   // another gateway lost one within `together`
  Ms rested = 0;              // since anything passed on it
};

struct SpreadOptions {
  Ms spread = 4000;        // over which clients come back after an outage, doubled with each failure
  Ms spread_most = 30000;  // the doubling's end
  int many = 3;            // calls lost at once with a reset: more than one connection's bad luck
  Ms together = 200;       // losses within it are one event
  Ms idle_close = 3500;    // a gateway may close what has rested so long; nothing has failed then
};

// One loss reconnects at once; an outage is met by many clients together, and each must come back at a
// moment of its own.
//   - never up: nothing listens there, or nobody answers.
//   - closed with calls open, or before it was idle: by the protocol a gateway closes only connections on
//     which nothing is open, and those that rested; so this one is ending.
//   - reset with many calls, or beside another loss: the machine or the network went, not one connection.
// Harm: a gateway that ends connections for want of descriptors is left for up to `spread`, which is what it
// needs; a client with no other gateway refuses calls for that time.
bool is_outage(const Loss& loss, const SpreadOptions& terms);

class Standing {
 public:
  enum class Phase { kWell, kLeft, kTrying };

  explicit Standing(const SpreadOptions& terms) : terms_(terms) {}
  Phase phase() const { return phase_; }
  bool well() const { return phase_ == Phase::kWell; }
  Ms try_at() const { return try_at_; }  // while left
  int failures() const { return failures_; }

  // It is left, and tried again at a moment within the spread: `draw` in [0, 1).
  void leave(Ms now, double draw);
  void trying() { phase_ = Phase::kTrying; }
  void came_back(Ms now);

 private:
  SpreadOptions terms_;
  Phase phase_ = Phase::kWell;
  Ms try_at_ = 0, well_since_ = 0;
  int failures_ = 0;  // in a row, forgotten once it stayed well for longer than the last spread
};

}  // namespace firvalve::client
