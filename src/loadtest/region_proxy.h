// Simulates network partitions between regions: a TCP proxy in front of one replica (`keeper`) that forwards
// connections, counts messages and bytes, and drops the traffic with regions that are cut off from the
// replica.
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

// Forwarded traffic in both directions since the proxy's start.
struct KeeperTraffic {
  uint64_t messages = 0;
  uint64_t bytes = 0;
  uint64_t connects = 0;  // accepted connections
};

// Addresses and callbacks of a proxy.
struct RegionProxyOptions {
  std::string address;  // where the proxy listens: the replica's address in the cluster
  std::string keeper;   // where the replica itself listens
  size_t regions = 1;
  // Maps the sender name in a frame to a member; none: not a member of this cluster.
  std::function<std::optional<size_t>(const std::string& name)> member_of;
  std::function<size_t(size_t member)> region_of;
  // Called on the proxy's thread for each message that is forwarded from the replica to a member.
  std::function<void(size_t member, const consensus::Message& message)> on_answer;
};

// Runs on its own thread. All functions may be called from any thread.
class RegionProxy {
 public:
  explicit RegionProxy(RegionProxyOptions options);  // throws ScaleError if it cannot listen at the address
  ~RegionProxy();
  RegionProxy(const RegionProxy&) = delete;
  RegionProxy& operator=(const RegionProxy&) = delete;

  // While a region is cut off, traffic between it and the replica is dropped silently.
  void set_cut(size_t region, bool cut) { cut_[region] = cut; }
  // While not listening, the address refuses connections, as a machine does whose process is down.
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
  std::vector<std::unique_ptr<Connection>> closed_;  // freed after the events of one epoll_wait
  std::atomic<uint64_t> messages_{0}, bytes_{0}, connects_{0};
  std::atomic<bool> stopping_{false}, out_of_descriptors_{false}, listening_wanted_{true};
  std::thread thread_;
};

}  // namespace firvalve::loadtest
