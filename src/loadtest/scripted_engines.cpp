#include "loadtest/scripted_engines.h"

#include <Poco/Exception.h>
#include <fmt/format.h>
#include <unistd.h>

#include "fakes/fake_deployment.h"
#include "loadtest/parts.h"

namespace firvalve::loadtest {
namespace {

constexpr size_t kThreads = 2;
constexpr int kSlots = 8;  // concurrent queries of an engine, as for its number of cores
constexpr int kGatewayMemoryMb = 192;
constexpr int kGatewaySockets = 16000;  // more than any gateway needs, so that this limit is never reached
constexpr int kHostsPerNetwork = 250;

// Chooses the network by process id, so that two concurrent runs do not use the same addresses.
std::string engine_address(int number) {
  const int networks = kEngineAddresses.last - kEngineAddresses.first + 1;
  const int network = kEngineAddresses.first + ::getpid() % networks;
  return fmt::format("127.{}.{}.{}:0", network, number / kHostsPerNetwork, 1 + number % kHostsPerNetwork);
}

}  // namespace

ScriptedEngines::ScriptedEngines(int count) {
  try {
    for (size_t i = 0; i < kThreads; ++i) hosts_.push_back(std::make_unique<fakes::FakeHost>());
    bus_ = std::make_unique<fakes::FakeEventBus>(*hosts_.front());
    fakes::FakeEngine::Options options;
    options.slots = kSlots;
    options.records_calls = false;
    for (int i = 0; i < count; ++i) {
      fakes::FakeHost& host = *hosts_[static_cast<size_t>(i) % kThreads];
      engines_.push_back(std::make_unique<fakes::FakeEngine>(host, options, engine_address(i)));
    }
  } catch (const Poco::Exception& error) {
    throw ScaleError(fmt::format("engine {} of {} cannot listen at {}: {}", engines_.size() + 1, count,
                                 engine_address(static_cast<int>(engines_.size())), error.displayText()));
  }
}

std::string ScriptedEngines::gateway_config(const std::string& listen, View view) const {
  std::string listings;
  for (int i = 0; i < view.engines; ++i) {
    const std::string name = fmt::format("s-{:08x}", 10 + i);
    const std::string zone = fmt::format("z{}", i % view.zones);
    if (i > 0) listings += ',';
    listings += fakes::listing(name, engines_[static_cast<size_t>(i)]->address(), "SERVING", "std", zone);
  }
  fakes::GatewayOptions options;
  options.listen = listen;
  options.bus = bus_->address();
  options.memory_mb = kGatewayMemoryMb;
  options.sockets = kGatewaySockets;
  // Gives the gateway the engines' full capacity. With a share of each engine, a pause of this machine, which
  // the gateway takes for overloaded engines, would limit its throughput.
  options.gateways = 1;
  return fakes::gateway_config(options, listings);
}

}  // namespace firvalve::loadtest
