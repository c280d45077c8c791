#include "loadtest/scripted_engines.h"

#include <Poco/Exception.h>
#include <fmt/format.h>
#include <unistd.h>

#include "fakes/fake_deployment.h"
#include "loadtest/parts.h"

namespace firvalve::loadtest {
namespace {

constexpr size_t kThreads = 2;
constexpr int kSlots = 8;  // queries at work at once at an engine, as its cores
constexpr int kGatewayMemoryMb = 192;
constexpr int kGatewaySockets = 16000;  // more than any of them needs: the limit isn't what is measured
constexpr int kHostsPerNetwork = 250;

// Each process has a network of its own among the engines' addresses, so that two runs don't meet.
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
  // It has the engines for itself. With a share of each it sends no more than that allows, and a stutter of
  // this machine, which it takes for crowded engines, would then decide how much it serves.
  options.gateways = 1;
  return fakes::gateway_config(options, listings);
}

}  // namespace firvalve::loadtest
