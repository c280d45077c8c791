// A proxy that injects network faults between the gateways of a cluster. Peers reach each gateway at an
// address of the proxy, which forwards frame by frame. Tests set the faults of each ordered pair of gateways
// separately. Random choices come from a seed; timing also depends on the scheduling of the operating system.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fakes/fake_host.h"

namespace firvalve::fakes {

// The public functions may be called from any thread.
class FaultProxy {
 public:
  struct Options {
    double lost = 0, repeated = 0;    // fractions of frames that are dropped and duplicated
    Ms min_delay = 0, max_delay = 0;  // range of a frame's delay
    bool reordered = false;           // delayed frames may overtake each other
    bool held = false;                // frames are queued until this is cleared
    bool silent = false;              // drops all frames; connections stay open
    bool cut = false;   // resets connections, new ones after the frame that identifies the dialler
    bool torn = false;  // forwards half of the next frame, then resets its connection
  };

  FaultProxy(FakeHost& host, uint64_t seed);
  ~FaultProxy();

  // Adds the gateway that listens at `real`; peers reach it at `address`, which is returned. Gateways are
  // numbered from 0 in the order of these calls.
  std::string add_gateway(const std::string& real, const std::string& address);
  void set(size_t from, size_t to, const Options& options);
  void set_both(size_t a, size_t b, const Options& options);
  void set_all(const Options& options);
  void set_apart(size_t one, const Options& options);  // both directions between `one` and each other gateway
  // Called with each forwarded frame, on the host's thread. Set it before any gateway connects.
  std::function<void(size_t from, size_t to, const std::string& frame)> on_frame;
  uint64_t passed() const;                       // number of frames forwarded
  uint64_t bytes(size_t from, size_t to) const;  // bytes forwarded in this direction

 private:
  class ConnectionPair;
  struct Route {
    std::string address, real;
    std::unique_ptr<Listener> listener;
  };

  // `is_forward`: from the gateway that dialled to the one it dialled.
  void forward(uint64_t pair_id, bool is_forward, std::string frame);
  void identify_dialer(ConnectionPair& pair, const std::string& frame);
  void deliver_later(uint64_t pair_id, ConnectionPair& pair, bool is_forward, const std::string& frame,
                     const Options& options);
  void deliver(uint64_t pair_id, bool is_forward, const std::string& frame);
  void end_pair(uint64_t pair_id);
  void release_held(size_t from, size_t to);
  double draw_fraction();

  FakeHost& host_;
  pcg32 rng_;
  std::vector<std::unique_ptr<Route>> routes_;
  std::map<std::string, size_t> route_numbers_;
  std::map<std::pair<size_t, size_t>, Options> options_;
  std::map<std::pair<size_t, size_t>, uint64_t> bytes_;
  std::map<uint64_t, std::unique_ptr<ConnectionPair>> pairs_;
  uint64_t last_pair_id_ = 0, frames_passed_ = 0;
  std::shared_ptr<bool> alive_;
};

}  // namespace firvalve::fakes
