// Runs the policy under the operators' simulator. Each batch of events and each reply is one line of JSON.
// One adapter serves any number of gateways, which share no state. The protocol's names are the operators'
// own.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy/policy.h"
#include "simulator_adapter/decision_writer.h"
#include "simulator_adapter/event_fields.h"

namespace firvalve::simulator {

class SimulatorAdapter {
 public:
  // Handles the events of one line in order, then collects the decisions of each gateway that had an event,
  // in the order of the gateways' first events. Ignores unknown events and fields, and events of gateways
  // that are not running. Returns the reply without a line feed. Throws MalformedInput.
  const std::string& handle_batch(std::string line);

 private:
  struct Gateway {
    State state;
    std::vector<std::string> profiles;  // names, in settings order
    bool has_new_events = false;        // in this batch
  };
  using Handler = void (SimulatorAdapter::*)(TimePoint now, const EventFields& fields);

  static Handler handler_of(const std::string& event);
  // One handler per event. A handler reads the fields before it looks up the gateway, so that a malformed
  // event is reported even if its gateway is not running.
  void handle_manifest(TimePoint now, const EventFields& fields);
  void handle_start(TimePoint now, const EventFields& fields);
  void handle_killed(TimePoint now, const EventFields& fields);
  void handle_update(TimePoint now, const EventFields& fields);
  void handle_accept(TimePoint now, const EventFields& fields);
  void handle_change(TimePoint now, const EventFields& fields);
  void handle_settled(TimePoint now, const EventFields& fields);
  void handle_gone(TimePoint now, const EventFields& fields);
  void handle_probe_result(TimePoint now, const EventFields& fields);
  void handle_bell(TimePoint now, const EventFields& fields);

  // Finds a running gateway and queues it for its decisions. Returns null if it is not running.
  Gateway* find_and_queue_gateway(int64_t gateway_id);
  void deliver(TimePoint now, int64_t gateway_id, const Event& event);
  void write_decisions(TimePoint now, int64_t gateway_id, Gateway& gateway);

  std::map<int64_t, Gateway> gateways_;
  std::vector<int64_t> decision_order_;                      // ids of gateways with new events
  std::map<int64_t, std::vector<EngineInfo>> engine_lists_;  // by the number that updates refer to
  Actions actions_;
  DecisionWriter writer_;
};

}  // namespace firvalve::simulator
