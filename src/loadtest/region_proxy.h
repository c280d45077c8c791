// The network between regions as it may fail: stands before one keeper, passes its connections on, counts
// what passes, and loses what comes from or goes to regions that are cut off from it.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "consensus/register.h"

namespace firvalve::loadtest {

// Both directions, since the proxy's start.
struct KeeperTraffic {
  uint64_t messages = 0;
  uint64_t bytes = 0;
  uint64_t connects = 0;  // accepted
};

struct RegionProxyOptions {
  std::string address;  // where it listens: what the fleet knows the keeper as
  std::string keeper;   // where the keeper itself listens
  size_t regions = 1;
  // By the name that a member's frames carry; none: not of this fleet.
  std::function<std::optional<size_t>(const std::string& name)> member_of;
  std::function<size_t(size_t member)> region_of;
  // A message that the keeper said to a member and that got there; on the proxy's thread.
  std::function<void(size_t member, const consensus::Message& message)> on_answer;
};

// One thread of its own. All functions may be called from any thread.
class RegionProxy {
 public:
  explicit RegionProxy(RegionProxyOptions options);  // throws ScaleError where the address is taken
  ~RegionProxy();
  RegionProxy(const RegionProxy&) = delete;
  RegionProxy& operator=(const RegionProxy&) = delete;

  // While a region is cut off, what it and the keeper say to each other is lost and nothing says so.
  void set_cut(size_t region, bool cut) { cut_[region] = cut; }
  // While the keeper is down its address refuses connections, as that of a machine without its process.
  void set_listening(bool listening) { listening_wanted_ = listening; }
  KeeperTraffic traffic() const { return {messages_, bytes_, connects_}; }
  bool out_of_descriptors() const { return out_of_descriptors_; }

 private:
  class Connection;
  struct Side;

  void listen();
  void run();
  void accept_all();
  void serve(Side& side, uint32_t events);
  void read(Side& side);
  void look_at_frames(Side& side);
  void write(Side& side);
  void watch(Side& side);
  void close(Connection& connection);

  const RegionProxyOptions options_;
  std::vector<std::atomic<bool>> cut_;
  int listener_ = -1, epoll_ = -1;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closed_;  // until the events of one wait have been gone through
  std::atomic<uint64_t> messages_{0}, bytes_{0}, connects_{0};
  std::atomic<bool> stopping_{false}, out_of_descriptors_{false}, listening_wanted_{true};
  std::thread thread_;
};

}  // namespace firvalve::loadtest
