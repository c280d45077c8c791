// A timer of the system (timerfd on the monotonic clock) that wakes a reactor.
//
// POCO's wait measures what is left of an interrupted wait (EINTR) by the wall clock: a step back while it is
// interrupted makes it wait as much longer. This timer stands behind each wait and ends it.
#pragma once

#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>

#include <optional>

#include "base/time.h"

namespace firvalve::net {

class WakeTimer {
 public:
  // Throws std::runtime_error where the system has no timer left.
  explicit WakeTimer(Poco::Net::SocketReactor& reactor);
  ~WakeTimer();
  WakeTimer(const WakeTimer&) = delete;
  WakeTimer& operator=(const WakeTimer&) = delete;

  // The reactor wakes from `at` to `at` + kSlack at the latest; it may wake earlier. Costs a system call only
  // where the time set before is not in that span.
  void ensure(TimePoint now, TimePoint at);

  static constexpr Duration kSlack = std::chrono::milliseconds(50);

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  Poco::Net::SocketReactor& reactor_;
  Poco::Net::Socket socket_;  // owns the descriptor
  std::optional<TimePoint> set_for_;
};

}  // namespace firvalve::net
