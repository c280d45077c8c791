// The network between gateways of a fleet, as it may fail: each gateway is reached at an address here, and
// what its peers say to it passes through, frame by frame. Each ordered pair of gateways has options of its
// own, which a test sets and changes. Chance comes from a seed; what the system's scheduling adds does not.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fakes/fake_host.h"

namespace firvalve::fakes {

// From any thread.
class FaultProxy {
 public:
  struct Options {
    double lost = 0, repeated = 0;       // parts of the frames
    Ms delay_least = 0, delay_most = 0;  // of each frame
    bool reordered = false;              // delayed ones may pass each other
    bool held = false;                   // frames wait here until this ends
    bool silent = false;                 // nothing comes through, and nothing says so
    bool cut = false;                    // connections are reset, new ones too, once it shows whose they are
    bool torn = false;                   // the next frame is passed in half, then its connection is reset
  };

  FaultProxy(FakeHost& host, uint64_t seed);
  ~FaultProxy();

  // Before the gateway that listens at `real`; gateways count from 0 in the order of these calls.
  // The address under which its peers reach it is `address`.
  std::string stand_before(const std::string& real, const std::string& address);
  void set(size_t from, size_t to, const Options& options);
  void set_both(size_t a, size_t b, const Options& options);
  void set_all(const Options& options);
  void set_apart(size_t one, const Options& options);  // from and to everybody
  // Shown each frame that comes through, on the host's thread. Set before anybody connects.
  std::function<void(size_t from, size_t to, const std::string& frame)> on_frame;
  uint64_t passed() const;  // frames
  uint64_t bytes(size_t from, size_t to) const;

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
  pcg32 chance_;
  std::vector<std::unique_ptr<Route>> routes_;
  std::map<std::string, size_t> names_;
  std::map<std::pair<size_t, size_t>, Options> options_;
  std::map<std::pair<size_t, size_t>, uint64_t> bytes_;
  std::map<uint64_t, std::unique_ptr<ConnectionPair>> pairs_;
  uint64_t last_pair_id_ = 0, frames_passed_ = 0;
  std::shared_ptr<bool> alive_;
};

}  // namespace firvalve::fakes
