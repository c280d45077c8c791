// A timer (timerfd on the monotonic clock) that wakes a reactor.
//
// POCO computes the rest of an interrupted wait (EINTR) from the wall clock, so a backward clock step during
// the interruption makes the wait longer by the size of the step. This timer bounds each wait.
#pragma once

#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>

#include <optional>

#include "base/time.h"

namespace firvalve::net {

class WakeTimer {
 public:
  // Throws std::runtime_error if the timer cannot be created.
  explicit WakeTimer(Poco::Net::SocketReactor& reactor);
  ~WakeTimer();
  WakeTimer(const WakeTimer&) = delete;
  WakeTimer& operator=(const WakeTimer&) = delete;

  // Makes the reactor wake at `at` + kSlack at the latest; it may wake earlier. Makes a system call only if
  // the timer is not armed already for a time between `now` and `at` + kSlack.
  void arm(TimePoint now, TimePoint at);

  static constexpr Duration kSlack = std::chrono::milliseconds(50);

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  Poco::Net::SocketReactor& reactor_;
  Poco::Net::Socket socket_;  // owns the descriptor
  std::optional<TimePoint> armed_for_;
};

}  // namespace firvalve::net
