// The policy behind the operators' simulator: batches of events in, decisions out, one line of JSON each, for
// any number of gateways that share nothing. The words of the wire are the operators' own.
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
  // Handles the events of one line in their order, then asks each gateway that had any for its decisions, in
  // the order of their first events. Events and fields that are unknown and events of gateways that are not
  // running are passed over. Returns the reply without a line's end. Throws MalformedInput.
  const std::string& handle_batch(std::string line);

 private:
  struct Gateway {
    State state;
    std::vector<std::string> profiles;  // names, in the order of the settings
    bool has_new_events = false;        // in this batch
  };
  using Handler = void (SimulatorAdapter::*)(TimePoint now, const EventFields& fields);

  static Handler handler_of(const std::string& event);
  // One for each event of the wire. Fields are read before the gateway is looked up, so that a malformed
  // event is reported also where its gateway is not running.
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

  // Null: it is not running. It will be asked for its decisions.
  Gateway* find_gateway(int64_t gateway_id);
  void deliver(TimePoint now, int64_t gateway_id, const Event& event);
  void write_decisions(TimePoint now, int64_t gateway_id, Gateway& gateway);

  std::map<int64_t, Gateway> gateways_;
  std::vector<int64_t> decision_order_;                      // ids of gateways with new events
  std::map<int64_t, std::vector<EngineInfo>> engine_lists_;  // by the number that updates refer to
  Actions actions_;
  DecisionWriter writer_;
};

}  // namespace firvalve::simulator
