// Dispatches the events of a batch to the gateways' policies and collects the decisions.
#include "simulator_adapter/simulator_adapter.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <iostream>
#include <optional>
#include <string_view>
#include <utility>

#include "core/settings.h"
#include "policy/setting_keys.h"
#include "simulator_adapter/event_reader.h"

namespace firvalve::simulator {

using rapidjson::Value;

namespace {

int64_t gateway_id_of(const EventFields& fields) { return fields.integer("gateway_id"); }

std::optional<int> index_of(const std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) return std::nullopt;
  return static_cast<int>(at - names.begin());
}

}  // namespace

// ---- Batches --------------------------------------------------------------------------------------

const std::string& SimulatorAdapter::handle_batch(std::string line) {
  rapidjson::Document batch;
  batch.ParseInsitu(line.data());
  if (batch.HasParseError())
    throw MalformedInput(std::string("not JSON: ") + rapidjson::GetParseError_En(batch.GetParseError()));
  static const std::string kBatch = "batch";
  const EventFields batch_fields(kBatch, batch);
  const TimePoint now = time_of_nanoseconds(batch_fields.integer("wall"));
  const Value& events = batch_fields.required("happened");
  if (!events.IsArray()) batch_fields.throw_mismatch("happened", "a list");
  writer_.begin();
  decision_order_.clear();
  for (const Value& event : events.GetArray()) {
    if (!event.IsObject() || event.MemberCount() != 1)
      batch_fields.throw_mismatch("happened", "a list of events with one name each");
    const auto& member = *event.MemberBegin();
    const std::string name(member.name.GetString(), member.name.GetStringLength());
    const EventFields fields(name, member.value);
    const Handler handler = handler_of(name);
    if (!handler) continue;
    try {
      (this->*handler)(now, fields);
    } catch (const MalformedInput&) {
      throw;
    } catch (const std::exception& error) {
      writer_.write_panic(gateway_id_of(fields), error.what());
    }
  }
  for (const int64_t id : decision_order_) write_decisions(now, id, gateways_.at(id));
  return writer_.end();
}

void SimulatorAdapter::write_decisions(TimePoint now, int64_t gateway_id, Gateway& gateway) {
  gateway.has_new_events = false;
  actions_.clear();
  try {
    decide(gateway.state, now, actions_);
  } catch (const std::exception& error) {
    return writer_.write_panic(gateway_id, error.what());
  }
  for (const Action& action : actions_) writer_.write(gateway_id, action);
}

// ---- Events ---------------------------------------------------------------------------------------

SimulatorAdapter::Handler SimulatorAdapter::handler_of(const std::string& event) {
  static constexpr std::pair<std::string_view, Handler> kHandlers[] = {
      {"MANIFEST", &SimulatorAdapter::handle_manifest},
      {"START", &SimulatorAdapter::handle_start},
      {"KILLED", &SimulatorAdapter::handle_killed},
      {"UPDATE", &SimulatorAdapter::handle_update},
      {"ACCEPT", &SimulatorAdapter::handle_accept},
      {"CHANGE", &SimulatorAdapter::handle_change},
      {"SETTLED", &SimulatorAdapter::handle_settled},
      {"GONE", &SimulatorAdapter::handle_gone},
      {"PROBE_RESULT", &SimulatorAdapter::handle_probe_result},
      {"BELL", &SimulatorAdapter::handle_bell},
  };
  for (const auto& [name, handler] : kHandlers)
    if (event == name) return handler;
  return nullptr;
}

SimulatorAdapter::Gateway* SimulatorAdapter::find_and_queue_gateway(int64_t gateway_id) {
  const auto at = gateways_.find(gateway_id);
  if (at == gateways_.end()) return nullptr;
  if (!at->second.has_new_events) {
    at->second.has_new_events = true;
    decision_order_.push_back(gateway_id);
  }
  return &at->second;
}

void SimulatorAdapter::deliver(TimePoint now, int64_t gateway_id, const Event& event) {
  if (Gateway* const gateway = find_and_queue_gateway(gateway_id)) handle(gateway->state, now, event);
}

void SimulatorAdapter::handle_manifest(TimePoint, const EventFields& fields) {
  engine_lists_[fields.integer("ref")] = read_engine_list(fields);
}

void SimulatorAdapter::handle_start(TimePoint, const EventFields& fields) {
  const int64_t id = gateway_id_of(fields);
  const Value& json = fields.required("settings");
  if (!json.IsObject()) fields.throw_mismatch("settings", "an object");
  const int64_t salt = fields.integer("salt");
  const Settings settings = parse_settings(json);
  gateways_.erase(id);
  Gateway& gateway = gateways_[id];
  gateway.state = open(settings, static_cast<uint64_t>(salt));
  gateway.profiles = names_of(settings, setting::kProfiles);
  std::erase(decision_order_, id);
  find_and_queue_gateway(id);
}

void SimulatorAdapter::handle_killed(TimePoint, const EventFields& fields) {
  const int64_t id = gateway_id_of(fields);
  gateways_.erase(id);
  std::erase(decision_order_, id);
}

void SimulatorAdapter::handle_update(TimePoint now, const EventFields& fields) {
  const int64_t id = gateway_id_of(fields);
  std::optional<EngineListUpdate> update = read_engine_list_update(fields);
  if (!update) return;
  const auto list = engine_lists_.find(fields.integer("ref"));
  if (list == engine_lists_.end()) fields.throw_mismatch("ref", "the number of a list");
  update->engines = list->second;
  deliver(now, id, *std::move(update));
}

void SimulatorAdapter::handle_accept(TimePoint now, const EventFields& fields) {
  const int64_t id = gateway_id_of(fields);
  AcceptedCommand command = read_accepted_command(fields);
  Gateway* const gateway = find_and_queue_gateway(id);
  if (!gateway) return;
  command.admitted.profile = index_of(gateway->profiles, command.profile);
  if (!command.admitted.profile)
    std::cerr << "firvalve-simulator-adapter: event ACCEPT: no profile is named " << command.profile << '\n';
  handle(gateway->state, now, command.admitted);
}

void SimulatorAdapter::handle_change(TimePoint now, const EventFields& fields) {
  const int64_t id = gateway_id_of(fields);
  if (const std::optional<AttemptStatus> status = read_attempt_status(fields)) deliver(now, id, *status);
}

void SimulatorAdapter::handle_settled(TimePoint now, const EventFields& fields) {
  const int64_t id = gateway_id_of(fields);
  deliver(now, id, read_attempt_finished(fields));
}

void SimulatorAdapter::handle_gone(TimePoint now, const EventFields& fields) {
  const int64_t id = gateway_id_of(fields);
  deliver(now, id, read_client_gone(fields));
}

void SimulatorAdapter::handle_probe_result(TimePoint now, const EventFields& fields) {
  const int64_t id = gateway_id_of(fields);
  deliver(now, id, read_probe_result(fields));
}

void SimulatorAdapter::handle_bell(TimePoint now, const EventFields& fields) {
  const int64_t id = gateway_id_of(fields);
  deliver(now, id, read_timer_fired(fields));
}

}  // namespace firvalve::simulator
