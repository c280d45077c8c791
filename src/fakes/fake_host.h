// One thread that plays any number of peers on loopback: their sockets, and what they do later.
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

class FakeHost {
 public:
  FakeHost();
  ~FakeHost();  // what it plays must have gone before
  FakeHost(const FakeHost&) = delete;
  FakeHost& operator=(const FakeHost&) = delete;

  // From any thread: runs it on the host's, between events; do_now waits until it has run.
  void post(std::function<void()> task);
  void do_now(const std::function<void()>& task);

  // On the host's thread alone.
  net::Loop& loop() { return loop_; }
  void after(Ms wait, std::function<void()> task);

 private:
  void run_posted();
  Ms turn(Ms now);

  net::Loop loop_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  std::multimap<Ms, std::function<void()>> timers_;
  std::unique_ptr<net::Waker> waker_;
  std::thread thread_;
};

// A listening address whose connections are the owner's. On the host's thread alone.
class Listener {
 public:
  Listener(FakeHost& host, std::function<void(Poco::Net::StreamSocket)> accepted);
  ~Listener() { close(); }
  // An address with port 0 takes a free one and keeps it over close() and listen() again. Throws
  // Poco::Exception where it is taken.
  void listen(const std::string& address);
  void close();
  bool listening() const { return listening_; }
  const std::string& address() const { return address_; }

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  FakeHost& host_;
  std::function<void(Poco::Net::StreamSocket)> accepted_;
  Poco::Net::ServerSocket socket_;
  bool listening_ = false;
  std::string address_;
};

// The connections of one fake: ended by themselves or all at once.
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
    host_.loop().bury(std::move(at->second));
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
