// A timer of the system (timerfd on the monotonic clock) that wakes a reactor.
//
// POCO's wait measures what is left of an interrupted wait (EINTR) by the wall clock: a step back while it is
// interrupted makes it wait as much longer. This timer stands behind each wait and ends it.
#pragma once

#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>

#include "base/units.h"

namespace firvalve::net {

class WakeTimer {
 public:
  // Throws std::runtime_error where the system has no timer left.
  explicit WakeTimer(Poco::Net::SocketReactor& reactor);
  ~WakeTimer();
  WakeTimer(const WakeTimer&) = delete;
  WakeTimer& operator=(const WakeTimer&) = delete;

  // The reactor wakes at a moment from `at` to `at` + kSlack at the latest; it may wake earlier. In the time
  // of monotonic_ms(). Costs a system call only where the moment set before does not do.
  void ensure(Ms now, Ms at);

  static constexpr Ms kSlack = 50;

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  Poco::Net::SocketReactor& reactor_;
  Poco::Net::Socket socket_;  // owns the descriptor
  Ms set_for_ = 0;            // 0: not set
};

}  // namespace firvalve::net
