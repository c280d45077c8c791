#include "gateway/serve.h"

#include <malloc.h>
#include <signal.h>

#include <memory>
#include <optional>
#include <random>

#include "base/process_memory.h"
#include "cluster/cluster_service.h"
#include "core/settings.h"
#include "gateway/event_log.h"
#include "gateway/gateway_config.h"
#include "gateway/memory_monitor.h"
#include "gateway/memory_shares.h"
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

// Descriptors not available to connections: standard streams, the reactor, its timer, the listener, files and
// a reserve.
constexpr int kReservedDescriptors = 20;

// The gateway connects to the event bus for the first time within this share of the drain grace.
constexpr double kFirstWatchShare = 0.1;

// Returns a duration of the settings; a value that is not positive counts as missing.
Duration duration_setting(const Settings& settings, const char* name, Duration default_value) {
  const Ms value = number_setting(settings, name, to_ms(default_value));
  return value > 0 ? duration_of(value) : default_value;
}

// Large buffers are taken from the system one by one and given back at once. In the heap, what is freed below
// a buffer that stays cannot be given back, and a buffer of another size may not fit into it.
void return_large_buffers_to_system() {
  constexpr int kMinLargeBytes = 64 * 1024;     // an answer of the largest result is smaller
  ::mallopt(M_MMAP_THRESHOLD, kMinLargeBytes);  // NOLINT(concurrency-mt-unsafe): no other thread runs yet
}

FixedMemory fixed_memory(const config::OperatorConfig::PagedResults& section) {
  constexpr double kBytesPerMegabyte = 1024 * 1024;
  const std::optional<ProcessMemory> memory = read_process_memory("self");
  return {memory ? static_cast<double>(memory->resident_bytes) : 0,
          section.on ? section.memory_mb * kBytesPerMegabyte : 0};
}

cluster::ClusterOptions cluster_options(const config::OperatorConfig::Cluster& section,
                                        size_t register_bytes) {
  cluster::ClusterOptions options = cluster::options_from(section);
  options.max_register_bytes = register_bytes;
  std::random_device device;
  options.random_seed = (static_cast<uint64_t>(device()) << 32) | device();
  return options;
}

// The components that run due work at the end of each turn of the loop.
struct TurnComponents {
  WallClockMonitor& wall_clock_monitor;
  MemoryMonitor& memory_monitor;
  net::EndpointWatcher& endpoint_watcher;
  log::Log& log;
  net::EngineConnections& engines;
  results::PagedResultStore* result_store = nullptr;  // null: disabled
  net::ClientServer& clients;
  cluster::ClusterService* cluster = nullptr;  // null: disabled
  Core& core;
};

// The core comes last: it makes its decisions after the other components have reported what has completed.
void run_due_work(const TurnComponents& components, TimePoint now) {
  components.wall_clock_monitor.check(now);
  components.memory_monitor.check(now);
  components.endpoint_watcher.run_due(now);
  components.log.write_suppressed(now);
  components.engines.run_due(now);
  if (components.result_store) components.result_store->handle_due(now);
  components.clients.run_due(now);
  if (components.cluster) components.cluster->due(now);
  components.core.decide(now);
}

// Returns the earliest time at which any component has due work; empty: none is scheduled.
std::optional<TimePoint> next_due(const TurnComponents& components, TimePoint now) {
  std::optional<TimePoint> due = components.endpoint_watcher.next_due();
  if (components.cluster) due = earlier_of<TimePoint>(due, components.cluster->next_due(now));
  if (components.result_store) due = earlier_of(due, components.result_store->next_due());
  due = earlier_of(due, components.log.next_due());
  due = earlier_of(due, components.clients.next_due());
  due = earlier_of(due, components.engines.next_due());
  return earlier_of(due, components.core.next_due());
}

}  // namespace

int serve(const std::string& operator_file) {
  net::block_signals();
  return_large_buffers_to_system();

  // Configuration.
  const config::OperatorConfig operator_config = read_operator_config(operator_file);
  GatewayConfig config = read_gateway_config();
  check_result_store_memory(operator_config, config, operator_file);
  const Settings& settings = config.settings;
  const MemoryShares memory =
      divide_memory(config.memory_limit_bytes(), fixed_memory(operator_config.paged_results));

  // The log, and the loop with its limits.
  log::Log log;
  configure_log(log, operator_config.log);
  net::Loop loop;
  loop.set_limits(config.max_descriptors - kReservedDescriptors, memory.buffer_bytes);
  EventLog event_log(log, loop);
  Metrics metrics;

  // The server for clients, the connections to engines, the core between them, and the cluster of gateways.
  // With a cluster, the core sends its responses through the cluster service.
  const Duration connect_timeout = duration_setting(settings, "connect time-out", kDefaultConnectTimeout);
  const Duration idle_timeout = duration_setting(settings, "idle close", kDefaultIdleTimeout);
  net::ClientServer clients(loop, metrics);
  clients.set_reads_retry_markers(operator_config.clients.reads_retry_markers);
  net::EngineConnections engines(loop, metrics, {connect_timeout, idle_timeout});
  std::unique_ptr<cluster::ClusterService> cluster;
  if (operator_config.cluster.on)
    cluster = std::make_unique<cluster::ClusterService>(
        loop, metrics, cluster_options(operator_config.cluster, memory.register_bytes), clients,
        [&](log::Level level, std::string_view event, log::Fields fields) {
          event_log.write(level, event, fields);
        });
  Core core(settings, config.seed, cluster ? static_cast<ResponseSink&>(*cluster) : clients, engines, metrics,
            [&](const EngineHealthChange& change) { event_log.log_engine_health_change(change); });
  core.set_max_pending_bytes(memory.command_bytes);
  engines.set_core(core);
  if (cluster) {
    cluster->set_core(core);
    clients.set_cluster(*cluster);
    clients.set_max_held_bytes(memory.cluster_request_bytes);
  }

  ResultStoreWiring result_store_wiring(operator_config.paged_results, loop, metrics, event_log);
  results::PagedResultStore* const result_store = result_store_wiring.store();
  if (result_store) {
    engines.set_max_page_bytes(static_cast<size_t>(operator_config.paged_results.page_kb * 1000));
    core.set_result_store(*result_store);
    clients.set_result_store(*result_store);
    result_store->on_space_freed = [&core](TimePoint now) { core.result_space_available(now); };
  }
  event_log.observe(core, clients, engines);

  // The endpoint list: first the events in the configuration, then those of the event bus.
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

  MemoryMonitor memory_monitor(event_log, metrics, {loop, core}, config.memory_limit_bytes());

  // Signals.
  Shutdown shutdown({core, clients, event_log, cluster.get(), result_store},
                    longest_client_timeout(settings).value_or(Duration::zero()));
  ConfigReloader reloader(operator_file, loop, endpoint_watcher, log, event_log, metrics);
  net::Signals signals(loop, [&](int signal_number) {
    switch (signal_number) {
      case SIGUSR1:
        if (cluster) cluster->log_status();
        memory_monitor.update_metrics();
        return event_log.log_metrics(metrics);
      case SIGHUP:
        return reloader.reload();
      default:  // SIGTERM, SIGINT
        return shutdown.start(loop.now());
    }
  });
  event_log.log_serving(config.listen_address);

  WallClockMonitor wall_clock_monitor(event_log, metrics);
  const TurnComponents components{wall_clock_monitor, memory_monitor, endpoint_watcher, log, engines,
                                  result_store,       clients,        cluster.get(),    core};
  loop.on_turn = [&](TimePoint now) -> std::optional<TimePoint> {
    run_due_work(components, now);
    if (!shutdown.is_started()) return next_due(components, now);
    if (shutdown.is_complete(now)) loop.stop();
    return now + kShutdownCheckInterval;
  };
  loop.run();
  memory_monitor.update_metrics();
  event_log.log_metrics(metrics);
  return 0;
}

}  // namespace firvalve
