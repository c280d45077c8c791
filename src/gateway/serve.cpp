#include "gateway/serve.h"

#include <signal.h>

#include <memory>
#include <optional>
#include <random>

#include "cluster/cluster_service.h"
#include "core/settings.h"
#include "gateway/event_log.h"
#include "gateway/gateway_config.h"
#include "gateway/reload.h"
#include "gateway/result_store_wiring.h"
#include "gateway/shutdown.h"
#include "gateway/wall_clock_monitor.h"
#include "net/client_server.h"
#include "net/endpoint_watcher.h"
#include "net/engine_connections.h"
#include "net/signals.h"

namespace firvalve {

using namespace std::chrono_literals;

namespace {

constexpr Duration kShutdownCheckInterval = 5ms;
constexpr Duration kDefaultConnectTimeout = 250ms;
constexpr Duration kDefaultIdleTimeout = 15000ms;

// Beside those of the connections: standard streams, the reactor, its timer, the listener, files, and a
// reserve.
constexpr int kReservedDescriptors = 20;

// Shares of the memory limit: of the connections' buffers, of the statements in flight, and of a replica's
// registers. The rest is the program's own.
constexpr double kBufferShare = 0.4, kStatementShare = 0.2, kRegisterShare = 0.1;

// Of the grace for drains: the event bus is asked for the first time within it.
constexpr double kFirstWatchShare = 0.1;

// A time of the settings; one that is not above 0 counts as missing.
Duration duration_setting(const Settings& settings, const char* name, Duration otherwise) {
  const Ms value = number_setting(settings, name, to_ms(otherwise));
  return value > 0 ? duration_of(value) : otherwise;
}

cluster::ClusterOptions cluster_options(const config::OperatorConfig::Fleet& section, double memory_bytes) {
  cluster::ClusterOptions options = cluster::options_from(section);
  options.max_register_bytes = static_cast<size_t>(kRegisterShare * memory_bytes);
  std::random_device device;
  options.random_seed = (static_cast<uint64_t>(device()) << 32) | device();
  return options;
}

// All that has work at the end of a turn of the loop.
struct TurnParts {
  WallClockMonitor& wall_clock_monitor;
  net::EndpointWatcher& endpoint_watcher;
  log::Log& log;
  net::EngineConnections& engines;
  results::PagedResultStore* result_store = nullptr;  // null: switched off
  net::ClientServer& clients;
  cluster::ClusterService* cluster = nullptr;  // null: switched off
  Core& core;
};

// The order is fixed: what has ended is handed to the core before the core decides.
void run_due_work(const TurnParts& parts, TimePoint now) {
  parts.wall_clock_monitor.check(now);
  parts.endpoint_watcher.run_due(now);
  parts.log.write_suppressed(now);
  parts.engines.run_due(now);
  if (parts.result_store) parts.result_store->handle_due(now);
  parts.clients.run_due(now);
  if (parts.cluster) parts.cluster->due(now);
  parts.core.decide(now);
}

// The earliest time at which any part has work, if any has.
std::optional<TimePoint> next_due(const TurnParts& parts, TimePoint now) {
  std::optional<TimePoint> due = parts.endpoint_watcher.next_due();
  if (parts.cluster) due = earlier_of<TimePoint>(due, parts.cluster->next_due(now));
  if (parts.result_store) due = earlier_of(due, parts.result_store->next_due());
  due = earlier_of(due, parts.log.next_due());
  due = earlier_of(due, parts.clients.next_due());
  due = earlier_of(due, parts.engines.next_due());
  return earlier_of(due, parts.core.next_due());
}

}  // namespace

int serve(const std::string& operator_file) {
  net::block_signals();

  // What is to be served.
  const config::OperatorConfig operator_config = read_operator_config(operator_file);
  GatewayConfig config = read_gateway_config();
  check_result_store_memory(operator_config, config, operator_file);
  const Settings& settings = config.settings;
  const double memory_bytes = config.memory_limit_bytes();

  // The loop, its limits, the log.
  log::Log log;
  configure_log(log, operator_config.log);
  net::Loop loop;
  loop.set_limits(config.max_descriptors - kReservedDescriptors,
                  static_cast<size_t>(kBufferShare * memory_bytes));
  EventLog event_log(log, loop);
  Metrics metrics;

  // Clients in front, engines behind, the core between them, and the cluster of gateways beside it.
  const Duration connect_timeout = duration_setting(settings, "connect time-out", kDefaultConnectTimeout);
  const Duration idle_timeout = duration_setting(settings, "idle close", kDefaultIdleTimeout);
  net::ClientServer clients(loop, metrics);
  clients.set_reads_retry_markers(operator_config.clients.marks);
  net::EngineConnections engines(loop, metrics, {connect_timeout, idle_timeout});
  std::unique_ptr<cluster::ClusterService> cluster;
  if (operator_config.fleet.on)
    cluster = std::make_unique<cluster::ClusterService>(
        loop, metrics, cluster_options(operator_config.fleet, memory_bytes), clients,
        [&](log::Level level, std::string_view event, log::Fields fields) {
          event_log.write(level, event, fields);
        });
  Core core(settings, config.seed, cluster ? static_cast<ResponseSink&>(*cluster) : clients, engines, metrics,
            [&](const EngineHealthChange& change) { event_log.log_engine_health_change(change); });
  core.set_max_statement_bytes(static_cast<size_t>(kStatementShare * memory_bytes));
  engines.set_core(core);
  if (cluster) {
    cluster->set_core(core);
    clients.set_cluster(*cluster);
  }

  ResultStoreWiring result_store_wiring(operator_config.spool, loop, metrics, event_log);
  results::PagedResultStore* const result_store = result_store_wiring.store();
  if (result_store) {
    engines.set_max_page_bytes(static_cast<size_t>(operator_config.spool.page_kb * 1000));
    core.set_result_store(*result_store);
    clients.set_result_store(*result_store);
    result_store->on_space_freed = [&core](TimePoint now) { core.result_space_available(now); };
  }
  event_log.observe(core, clients, engines);

  // The endpoint list: what the configuration knows of it, then what the event bus says.
  net::EndpointWatcher endpoint_watcher(
      loop, metrics, config.event_bus_address, connect_timeout,
      duration_of(kFirstWatchShare * number_setting(settings, "drain grace")), config.seed);
  for (proto::BusEvent& event : config.known_events)
    net::apply_endpoint_event(core, loop.now(), std::move(event));
  endpoint_watcher.watch(core, config.last_event_offset);
  endpoint_watcher.on_malformed_line = [&](std::string_view line) { event_log.log_unreadable_event(line); };
  endpoint_watcher.on_change = [&](TimePoint, const net::EndpointChange& change) {
    event_log.log_endpoint_change(change);
  };

  clients.listen(config.listen_address, core);

  // Signals.
  Shutdown shutdown({core, clients, event_log, cluster.get(), result_store},
                    longest_client_timeout(settings).value_or(Duration::zero()));
  ConfigReloader reloader(operator_file, loop, endpoint_watcher, log, event_log, metrics);
  net::Signals signals(loop, [&](int signal_number) {
    switch (signal_number) {
      case SIGUSR1:
        if (cluster) cluster->log_status();
        return event_log.log_metrics(metrics);
      case SIGHUP:
        return reloader.reload();
      default:  // SIGTERM, SIGINT
        return shutdown.start(loop.now());
    }
  });
  event_log.log_serving(config.listen_address);

  WallClockMonitor wall_clock_monitor(event_log, metrics);
  const TurnParts parts{wall_clock_monitor, endpoint_watcher, log,           engines,
                        result_store,       clients,          cluster.get(), core};
  loop.on_turn = [&](TimePoint now) -> std::optional<TimePoint> {
    run_due_work(parts, now);
    if (!shutdown.is_started()) return next_due(parts, now);
    if (shutdown.is_complete(now)) loop.stop();
    return now + kShutdownCheckInterval;
  };
  loop.run();
  event_log.log_metrics(metrics);
  return 0;
}

}  // namespace firvalve
