// One thread that runs any number of fake peers on loopback: their sockets and timers.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net/waker.h"

namespace firvalve::fakes {

// Owns the thread and its event loop.
class FakeHost {
 public:
  FakeHost();
  ~FakeHost();  // the fakes that use it must be destroyed first
  FakeHost(const FakeHost&) = delete;
  FakeHost& operator=(const FakeHost&) = delete;

  // From any thread: runs the task on the host's thread, between events. run_and_wait() waits until it has
  // run and rethrows its exception.
  void post(std::function<void()> task);
  void run_and_wait(const std::function<void()>& task);

  // On the host's thread only.
  net::Loop& loop() { return loop_; }
  void after(Ms wait, std::function<void()> task);

 private:
  void run_posted();
  Ms run_due_timers(Ms now);  // returns when the next timer is due; 0: no timer

  net::Loop loop_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  std::multimap<Ms, std::function<void()>> timers_;
  std::unique_ptr<net::Waker> waker_;
  std::thread thread_;
};

// A listening socket that passes accepted connections to its owner. Used on the host's thread only.
class Listener {
 public:
  Listener(FakeHost& host, std::function<void(Poco::Net::StreamSocket)> on_accepted);
  ~Listener() { close(); }
  // Port 0 selects a free port, which is kept for listen() after close(). Throws Poco::Exception if the
  // address is in use.
  void listen(const std::string& address);
  void close();
  bool listening() const { return listening_; }
  const std::string& address() const { return address_; }

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  FakeHost& host_;
  std::function<void(Poco::Net::StreamSocket)> on_accepted_;
  Poco::Net::ServerSocket socket_;
  bool listening_ = false;
  std::string address_;
};

// The connections of one fake, which can be ended one by one or all at once.
template <class Connection>
class Connections {
 public:
  explicit Connections(FakeHost& host) : host_(host) {}
  Connection* add(std::unique_ptr<Connection> connection) {
    Connection* const key = connection.get();
    all_[key] = std::move(connection);
    return key;
  }
  void end(Connection* key, bool with_reset = false) {
    const auto at = all_.find(key);
    if (at == all_.end()) return;
    with_reset ? key->abort() : key->close();
    host_.loop().destroy_after_turn(std::move(at->second));
    all_.erase(at);
  }
  void end_all(bool with_reset) {
    while (!all_.empty()) end(all_.begin()->first, with_reset);
  }
  bool has(Connection* key) const { return all_.count(key) > 0; }
  size_t size() const { return all_.size(); }

 private:
  FakeHost& host_;
  std::map<Connection*, std::unique_ptr<Connection>> all_;
};

}  // namespace firvalve::fakes
