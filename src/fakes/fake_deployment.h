// An installation on loopback: engines, their event bus, and the configuration that a gateway wants.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_engine.h"
#include "fakes/fake_event_bus.h"

namespace firvalve::fakes {

// What a gateway's configuration says beside its engines.
struct GatewayOptions {
  std::string listen, bus;
  int memory_mb = 192, sockets = 1024;
  int gateways = 1;  // that share the engines
};
// The file that NODE_CONFIG names, with engines as listing() tells them, separated by commas.
// Profiles: lookup (replayable), report (replayable, longer), load (non-replayable).
std::string gateway_config(const GatewayOptions& options, const std::string& listings);

class FakeDeployment {
 public:
  explicit FakeDeployment(int engines, FakeEngine::Means means = {});
  FakeEngine& engine(int i) { return *engines_[static_cast<size_t>(i)]; }
  int engines() const { return static_cast<int>(engines_.size()); }
  FakeEventBus& bus() { return *bus_; }
  const FakeEventBus& bus() const { return *bus_; }
  FakeHost& host() { return host_; }
  std::string name_of(int engine) const;
  // The file that NODE_CONFIG names.
  std::string config(const std::string& listen, int memory_mb = 192, int sockets = 1024) const;
  // Over all engines:
  int runs(const std::string& statement) const;
  int runs_most() const;
  int started() const;

 private:
  FakeHost host_;
  std::unique_ptr<FakeEventBus> bus_;
  std::vector<std::unique_ptr<FakeEngine>> engines_;
};

// An address of the loopback range that is free now.
std::string free_address();
// Several at once, none twice, on an address of the loopback range that only this process uses.
std::vector<std::string> free_addresses(size_t count);

}  // namespace firvalve::fakes
