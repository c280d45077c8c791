// The event loop, timers and listening sockets of the fakes.
#include "fakes/fake_host.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <fcntl.h>
#include <sys/socket.h>

#include <future>

namespace firvalve::fakes {

using Poco::Net::ReadableNotification;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

FakeHost::FakeHost() {
  loop_.set_limits(1 << 20, size_t{1} << 30);
  waker_ = std::make_unique<net::Waker>(loop_, [this] { run_posted(); });
  loop_.on_turn = [this](TimePoint now) -> std::optional<TimePoint> {
    const Ms due = run_due_timers(to_ms(now));
    if (due <= 0) return std::nullopt;
    return time_point_of(due);
  };
  thread_ = std::thread([this] { loop_.run(); });
}

FakeHost::~FakeHost() {
  post([this] { loop_.stop(); });
  thread_.join();
}

void FakeHost::post(std::function<void()> task) {
  const std::lock_guard lock(mutex_);
  posted_.push_back(std::move(task));
  waker_->wake();
}

void FakeHost::run_and_wait(const std::function<void()>& task) {
  std::promise<void> done;
  post([&] {
    try {
      task();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
}

void FakeHost::run_posted() {
  std::vector<std::function<void()>> tasks;
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(posted_);
  }
  for (const auto& task : tasks) task();
}

void FakeHost::after(Ms wait, std::function<void()> task) {
  timers_.emplace(loop_.now_ms() + wait, std::move(task));
}

Ms FakeHost::run_due_timers(Ms now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const auto task = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    task();
  }
  return timers_.empty() ? 0 : timers_.begin()->first;
}

Listener::Listener(FakeHost& host, std::function<void(StreamSocket)> on_accepted)
    : host_(host), on_accepted_(std::move(on_accepted)) {}

void Listener::listen(const std::string& address) {
  socket_ = Poco::Net::ServerSocket();
  socket_.bind(SocketAddress(address_.empty() ? address : address_), true);
  socket_.listen(1024);
  socket_.setBlocking(false);
  ::fcntl(socket_.impl()->sockfd(), F_SETFD, FD_CLOEXEC);  // child processes must not inherit the socket
  address_ = socket_.address().toString();
  host_.loop().addEventHandler(
      socket_, Poco::NObserver<Listener, ReadableNotification>(*this, &Listener::on_readable));
  listening_ = true;
}

void Listener::close() {
  if (!listening_) return;
  listening_ = false;
  host_.loop().removeEventHandler(
      socket_, Poco::NObserver<Listener, ReadableNotification>(*this, &Listener::on_readable));
  socket_.close();
}

void Listener::on_readable(const Poco::AutoPtr<ReadableNotification>&) {
  for (int i = 0; i < 256 && listening_; ++i) {
    const int descriptor =
        ::accept4(socket_.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) return;
    on_accepted_(StreamSocket(new Poco::Net::StreamSocketImpl(descriptor)));
  }
}

}  // namespace firvalve::fakes
