// The event bus as the gateways meet it: `from N`, then all later events and each second the last number.
#pragma once

#include <string>
#include <vector>

#include "fakes/fake_host.h"

namespace firvalve::fakes {

// One engine as the bus lists it.
std::string listing(const std::string& name, const std::string& address, const std::string& state,
                    const std::string& machine = "std", const std::string& zone = "z");
// One event, whole, as the bus and `known` of a gateway's configuration tell it.
std::string topology(int64_t offset, bool full, const std::string& listings);

// Over all connections since its start.
struct BusTraffic {
  uint64_t connections_open = 0, connections_made = 0;
  uint64_t lines_in = 0, lines_out = 0;
  uint64_t bytes_in = 0, bytes_out = 0;
};

// From any thread.
class FakeEventBus {
 public:
  explicit FakeEventBus(FakeHost& host, int64_t last = 1, const std::string& address = "127.0.0.1:0");
  ~FakeEventBus();
  std::string address() const { return address_; }
  // The next event: what has changed, or the whole list.
  void announce(const std::string& listings, bool whole = false);
  BusTraffic traffic() const;
  void say_first(std::string line);         // a line, as it is, before all else on the next connection
  std::vector<int64_t> asked_from() const;  // the numbers that connections asked from, in order

 private:
  class Session;
  void tick();
  void serve(Session& connection, int64_t from);
  void write(Session& connection, const std::string& lines);

  FakeHost& host_;
  std::string address_;
  std::unique_ptr<Listener> listener_;
  Connections<Session> connections_;
  std::vector<Session*> followers_;
  std::vector<std::string> events_;  // from first_ + 1 on
  int64_t first_;
  std::string say_first_;
  std::shared_ptr<bool> alive_;
  mutable std::mutex mutex_;
  std::vector<int64_t> asked_;
  BusTraffic traffic_;  // the host's thread's
};

}  // namespace firvalve::fakes
