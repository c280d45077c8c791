// The gateway's events as lines of the log: one function an event, named `component.what_happened`, with its
// fields. Also the observers that write single commands and connections.
#pragma once

#include <string_view>

#include "config/operator_config.h"
#include "core/core.h"
#include "log/log.h"
#include "net/client_server.h"
#include "net/endpoint_watcher.h"
#include "net/engine_connections.h"
#include "results/segment_files.h"

namespace firvalve {

// Sets form and level as the operator's file has them.
void configure_log(log::Log& log, const config::OperatorConfig::Log& options);

// One thread: the loop's.
class EventLog {
 public:
  // Both outlive this.
  EventLog(log::Log& log, net::Loop& loop) : log_(log), loop_(loop) {}

  void write(log::Level level, std::string_view event, log::Fields fields);

  void log_serving(std::string_view address);
  void log_shutdown_started();
  void log_config_reloaded();
  void log_config_rejected(std::string_view reason);  // the configuration before it stays in force
  void log_metrics(const Metrics& metrics);
  void log_wall_clock_step(Duration step);
  void log_engine_health_change(const EngineHealthChange& change);
  void log_damaged_segments(const results::SegmentFiles& files);
  void log_endpoint_change(const net::EndpointChange& change);
  void log_unreadable_event(std::string_view line);

  // Single commands, attempts and connections are logged at the level `debug` alone: they are many.
  void observe(Core& core, net::ClientServer& clients, net::EngineConnections& engines);

 private:
  void log_command_event(TimePoint now, const CommandEvent& event);
  net::ConnectionObserver connection_observer(const char* component);

  log::Log& log_;
  net::Loop& loop_;
};

}  // namespace firvalve
