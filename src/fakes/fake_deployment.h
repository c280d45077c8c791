// A deployment on loopback: fake engines, their event bus, and the configuration of a gateway that uses them.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_engine.h"
#include "fakes/fake_event_bus.h"

namespace firvalve::fakes {

// The part of a gateway's configuration that does not describe engines.
struct GatewayOptions {
  std::string listen, bus;
  int memory_mb = 192, sockets = 1024;
  int gateways = 1;  // number of gateways that share the engines
};
// Returns the contents of the file that NODE_CONFIG names. `listings`: engines from listing(),
// comma-separated. Profiles: lookup (replayable), report (replayable, longer), load (non-replayable).
std::string gateway_config(const GatewayOptions& options, const std::string& listings);

// Fake engines and their event bus, all on one FakeHost.
class FakeDeployment {
 public:
  explicit FakeDeployment(int engines, FakeEngine::Options options = {});
  FakeEngine& engine(int i) { return *engines_[static_cast<size_t>(i)]; }
  int engines() const { return static_cast<int>(engines_.size()); }
  FakeEventBus& bus() { return *bus_; }
  const FakeEventBus& bus() const { return *bus_; }
  FakeHost& host() { return host_; }
  std::string name_of(int engine) const;
  // Returns the contents of the file that NODE_CONFIG names.
  std::string config(const std::string& listen, int memory_mb = 192, int sockets = 1024) const;
  // As for one FakeEngine, over all engines.
  int runs(const std::string& statement) const;
  int max_runs_per_statement() const;
  int started() const;

 private:
  FakeHost host_;
  std::unique_ptr<FakeEventBus> bus_;
  std::vector<std::unique_ptr<FakeEngine>> engines_;
};

// A loopback address whose port is free now.
std::string free_address();
// Distinct free addresses on a loopback host that only this process uses.
std::vector<std::string> free_addresses(size_t count);

}  // namespace firvalve::fakes
