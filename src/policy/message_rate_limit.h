// Limits the messages of one client connection that open no call: unsound requests, heartbeats, revokes and
// requests that are rejected at once. Nothing else bounds them, since each is answered or ignored at once,
// and one client could take the whole processor. Requests that open a call are bounded by their number.
//
// A token bucket. Reads no clock.
#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"

namespace firvalve {

class MessageRateLimit {
 public:
  // Counts one such message.
  void count(TimePoint now, size_t message_bytes);
  // When the next message may be handled; empty: at once.
  std::optional<TimePoint> wait_until(TimePoint now);

 private:
  void refill(TimePoint now);

  double used_tokens_ = 0;
  std::optional<TimePoint> refilled_at_;
};

}  // namespace firvalve
