#include "gateway/event_log.h"

#include <fmt/format.h>

#include <string>
#include <utility>

namespace firvalve {

using log::Level;

void configure_log(log::Log& log, const config::OperatorConfig::Log& options) {
  static constexpr std::pair<std::string_view, Level> kLevels[] = {{"debug", Level::kDebug},
                                                                   {"info", Level::kInfo},
                                                                   {"warning", Level::kWarning},
                                                                   {"error", Level::kError}};
  for (const auto& [name, level] : kLevels)
    if (name == options.level)
      log.configure(options.form == "json" ? log::Form::kJson : log::Form::kLogfmt, level);
}

void EventLog::write(Level level, std::string_view event, log::Fields fields) {
  log_.write(loop_.now(), level, event, fields);
}

void EventLog::log_serving(std::string_view address) {
  write(Level::kInfo, "gateway.serving", {{"component", "gateway"}, {"address", std::string(address)}});
}

void EventLog::log_shutdown_started() {
  write(Level::kInfo, "gateway.shutdown_started", {{"component", "gateway"}});
}

void EventLog::log_config_reloaded() {
  write(Level::kInfo, "gateway.config_reloaded", {{"component", "gateway"}});
}

void EventLog::log_config_rejected(std::string_view reason) {
  write(Level::kError, "gateway.config_rejected",
        {{"component", "gateway"}, {"reason", std::string(reason)}});
}

void EventLog::log_metrics(const Metrics& metrics) {
  write(Level::kInfo, "gateway.metrics", {{"component", "gateway"}, {"counts", metrics.text()}});
}

void EventLog::log_wall_clock_step(Duration step) {
  write(Level::kWarning, "gateway.wall_clock_stepped",
        {{"component", "gateway"}, {"by_ms", fmt::format("{:.0f}", to_ms(step))}});
}

void EventLog::log_memory_high(const MemoryUse& use) {
  write(Level::kWarning, "gateway.memory_high",
        {{"component", "gateway"},
         {"resident_kb", std::to_string(use.resident_kb)},
         {"peak_kb", std::to_string(use.peak_kb)},
         {"limit_kb", std::to_string(use.limit_kb)},
         {"buffered_kb", std::to_string(use.buffered_kb)},
         {"commands_kb", std::to_string(use.commands_kb)},
         {"commands", std::to_string(use.commands)},
         {"connections", std::to_string(use.connections)}});
}

void EventLog::log_engine_health_change(const EngineHealthChange& change) {
  const bool is_ejected = change.health != EngineHealth::kReinstated;
  write(Level::kWarning, is_ejected ? "engine.ejected" : "engine.reinstated",
        {{"component", "policy"},
         {"engine", std::string(change.engine)},
         {"reason", is_ejected ? std::string(name_of(change.health)) : std::string()}});
}

void EventLog::log_damaged_segments(const results::SegmentFiles& files) {
  write(Level::kWarning, "result_store.damaged_segments_dropped",
        {{"component", "result_store"},
         {"truncated_segments", std::to_string(files.truncated_segments())},
         {"corrupt_results", std::to_string(files.corrupt_results())}});
}

void EventLog::log_unreadable_event(std::string_view line) {
  write(Level::kWarning, "endpoint_watcher.event_unreadable",
        {{"component", "endpoint_watcher"}, {"line", std::string(line)}});
}

void EventLog::log_endpoint_change(const net::EndpointChange& change) {
  using Kind = net::EndpointChange::Kind;
  const auto offset = std::to_string(change.offset);
  const auto address = std::string(change.address);
  switch (change.kind) {
    case Kind::kConnected:
      return write(Level::kInfo, "endpoint_watcher.connected",
                   {{"component", "endpoint_watcher"}, {"address", address}, {"offset", offset}});
    case Kind::kDisconnected:
      return write(Level::kInfo, "endpoint_watcher.disconnected",
                   {{"component", "endpoint_watcher"},
                    {"address", address},
                    {"reason", std::string(name_of(change.reason))}});
    case Kind::kMigrationScheduled:
      return write(Level::kInfo, "endpoint_watcher.migration_scheduled",
                   {{"component", "endpoint_watcher"}, {"address", address}});
    case Kind::kListUpdated:
      return write(Level::kInfo, "endpoint_watcher.list_updated",
                   {{"component", "endpoint_watcher"},
                    {"offset", offset},
                    {"serving", std::to_string(change.serving)},
                    {"draining", std::to_string(change.draining)},
                    {"gone", std::to_string(change.gone)}});
  }
}

void EventLog::log_command_event(TimePoint now, const CommandEvent& event) {
  log_.write(
      now, Level::kDebug, name_of(event.kind),
      {{"component", "command"},
       {"command", std::string(event.command)},
       {"profile", std::string(event.profile)},
       {"engine", std::string(event.engine)},
       {"attempt", std::to_string(event.attempts)},
       {"outcome", event.kind == CommandEvent::Kind::kAttemptFinished ? std::string(name_of(event.outcome))
                                                                      : std::string()},
       {"reason", std::string(name_of(event.reason))},
       {"took_ms", fmt::format("{:.1f}", to_ms(event.duration.value_or(Duration::zero())))}});
}

net::ConnectionObserver EventLog::connection_observer(const char* component) {
  return [this, component](TimePoint now, const net::ConnectionClosed& closed) {
    if (log_.level() != Level::kDebug) return;
    log_.write(now, Level::kDebug, "connection.closed",
               {{"component", component},
                {"peer", std::string(closed.peer)},
                {"reason", std::string(name_of(closed.reason))},
                {"open_calls", std::to_string(closed.open_calls)}});
  };
}

void EventLog::observe(Core& core, net::ClientServer& clients, net::EngineConnections& engines) {
  core.set_observer([this](TimePoint now, const CommandEvent& event) {
    if (log_.level() == Level::kDebug) log_command_event(now, event);
  });
  clients.observe(connection_observer("client_server"));
  engines.observe(connection_observer("engine_connections"));
}

}  // namespace firvalve
