// Fake engines that execute nothing, each on its own loopback address and port, served by a few threads of
// this process, and the event bus that lists them. Any number of gateways may share them.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_engine.h"
#include "fakes/fake_event_bus.h"
#include "fakes/fake_host.h"
#include "loadtest/process_usage.h"

namespace firvalve::loadtest {

// The loopback networks that engines listen on; clients and the bus use 127.0.0.1.
constexpr LoopbackRange kEngineAddresses = {64, 127};

// The fake engines and their event bus.
class ScriptedEngines {
 public:
  // Throws ScaleError if an address is in use or the file descriptors run out.
  explicit ScriptedEngines(int count);

  struct View {
    int engines = 0;  // uses the first `engines` engines
    int zones = 1;    // zones that the engines are spread over evenly
  };
  // The configuration of a gateway that listens at `listen` and knows these engines.
  std::string gateway_config(const std::string& listen, View view) const;

 private:
  std::vector<std::unique_ptr<fakes::FakeHost>> hosts_;
  std::unique_ptr<fakes::FakeEventBus> bus_;
  std::vector<std::unique_ptr<fakes::FakeEngine>> engines_;
};

}  // namespace firvalve::loadtest
