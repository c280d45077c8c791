#include "net/wake_timer.h"

#include <Poco/NObserver.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace firvalve::net {

using Poco::Net::ReadableNotification;
using Poco::Net::StreamSocket;
using Poco::Net::StreamSocketImpl;

namespace {

constexpr Duration kMinDelay = std::chrono::milliseconds(1);  // 0 would disarm the timer

StreamSocket create_timerfd() {
  const int descriptor = ::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (descriptor < 0) throw std::runtime_error("cannot create the timer that wakes the event loop");
  return StreamSocket(new StreamSocketImpl(descriptor));
}

timespec to_timespec(Duration span) {
  constexpr double kMsPerSecond = 1000;
  const double seconds = std::floor(to_ms(span) / kMsPerSecond);
  return {static_cast<time_t>(seconds), static_cast<long>((to_ms(span) - seconds * kMsPerSecond) * 1e6)};
}

}  // namespace

WakeTimer::WakeTimer(Poco::Net::SocketReactor& reactor) : reactor_(reactor), socket_(create_timerfd()) {
  reactor_.addEventHandler(socket_,
                           Poco::NObserver<WakeTimer, ReadableNotification>(*this, &WakeTimer::on_readable));
}

WakeTimer::~WakeTimer() {
  reactor_.removeEventHandler(
      socket_, Poco::NObserver<WakeTimer, ReadableNotification>(*this, &WakeTimer::on_readable));
}

void WakeTimer::arm(TimePoint now, TimePoint at) {
  if (armed_for_ && *armed_for_ > now && *armed_for_ <= at + kSlack) return;
  armed_for_ = at + kSlack / 2;
  itimerspec when{};
  when.it_value = to_timespec(std::max<Duration>(kMinDelay, *armed_for_ - now));
  ::timerfd_settime(socket_.impl()->sockfd(), 0, &when, nullptr);
}

void WakeTimer::on_readable(const Poco::AutoPtr<ReadableNotification>&) {
  uint64_t expirations;
  [[maybe_unused]] const ssize_t read = ::read(socket_.impl()->sockfd(), &expirations, sizeof expirations);
  armed_for_.reset();
}

}  // namespace firvalve::net
