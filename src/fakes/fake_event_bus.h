// A fake event bus: a subscriber sends `from N` and receives all events after offset N, and the last offset
// each second.
#pragma once

#include <string>
#include <vector>

#include "fakes/fake_host.h"

namespace firvalve::fakes {

// Returns one engine's entry in the engine list, as JSON.
std::string listing(const std::string& name, const std::string& address, const std::string& state,
                    const std::string& machine = "std", const std::string& zone = "z");
// Returns one topology event, in the form used by the bus and by `known` in a gateway's configuration.
// `full`: it replaces the whole engine list; otherwise it holds the changed engines.
std::string topology(int64_t offset, bool full, const std::string& listings);

// Totals over all connections since the bus started; connections_open is the present number.
struct BusTraffic {
  uint64_t connections_open = 0, connections_made = 0;
  uint64_t lines_in = 0, lines_out = 0;
  uint64_t bytes_in = 0, bytes_out = 0;
};

// The public functions may be called from any thread.
class FakeEventBus {
 public:
  explicit FakeEventBus(FakeHost& host, int64_t base_offset = 1, const std::string& address = "127.0.0.1:0");
  ~FakeEventBus();
  std::string address() const { return address_; }
  // Publishes the next event: the changed engines, or the complete list if `whole`.
  void announce(const std::string& listings, bool whole = false);
  BusTraffic traffic() const;
  void say_first(std::string line);  // sends `line` unchanged before the events of the next subscription
  std::vector<int64_t> asked_from() const;  // the offsets that subscribers requested, in order

 private:
  class Session;
  void broadcast_offset();
  void start_subscription(Session& connection, int64_t from);
  void send_lines(Session& connection, const std::string& lines);

  FakeHost& host_;
  std::string address_;
  std::unique_ptr<Listener> listener_;
  Connections<Session> connections_;
  std::vector<Session*> subscribers_;
  std::vector<std::string> events_;  // offsets base_offset_ + 1 and above
  int64_t base_offset_;
  std::string first_line_;
  std::shared_ptr<bool> alive_;
  mutable std::mutex mutex_;
  std::vector<int64_t> requested_offsets_;
  BusTraffic traffic_;  // used on the host's thread only
};

}  // namespace firvalve::fakes
