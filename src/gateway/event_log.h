// Writes the gateway's events to the log: one function per event. Events are named `component.what_happened`.
// Also registers the observers that log each command and connection.
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

// Applies the line format and the level of the operator's file.
void configure_log(log::Log& log, const config::OperatorConfig::Log& options);

// Memory of this process, and what it is used for.
struct MemoryUse {
  size_t resident_kb = 0, peak_kb = 0, limit_kb = 0;
  size_t buffered_kb = 0;  // buffers of all connections
  size_t commands_kb = 0;  // pending commands with their statements
  size_t commands = 0, connections = 0;
};

// Not thread-safe: used on the loop's thread only.
class EventLog {
 public:
  // Both arguments must outlive this object.
  EventLog(log::Log& log, net::Loop& loop) : log_(log), loop_(loop) {}

  void write(log::Level level, std::string_view event, log::Fields fields);

  void log_serving(std::string_view address);
  void log_shutdown_started();
  void log_config_reloaded();
  void log_config_rejected(std::string_view reason);  // the previous configuration stays in force
  void log_metrics(const Metrics& metrics);
  void log_wall_clock_step(Duration step);
  void log_memory_high(const MemoryUse& use);
  void log_engine_health_change(const EngineHealthChange& change);
  void log_damaged_segments(const results::SegmentFiles& files);
  void log_endpoint_change(const net::EndpointChange& change);
  void log_unreadable_event(std::string_view line);

  // Registers observers that log each command, attempt and connection. They write at level `debug` only,
  // because of the volume.
  void observe(Core& core, net::ClientServer& clients, net::EngineConnections& engines);

 private:
  void log_command_event(TimePoint now, const CommandEvent& event);
  net::ConnectionObserver connection_observer(const char* component);

  log::Log& log_;
  net::Loop& loop_;
};

}  // namespace firvalve
