#include "loadtest/simulated_gateway.h"

#include <Poco/Exception.h>
#include <fmt/format.h>
#include <pthread.h>
#include <time.h>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <future>
#include <mutex>
#include <random>
#include <thread>

#include "base/monotonic_clock.h"
#include "cluster/cluster_service.h"
#include "config/operator_config.h"
#include "core/settings.h"
#include "loadtest/parts.h"
#include "net/endpoint_watcher.h"
#include "net/engine_connections.h"
#include "net/waker.h"

namespace firvalve::loadtest {
namespace {

// The gateway program's defaults (gateway/serve.cpp).
constexpr Duration kConnectMost = std::chrono::milliseconds(250),
                   kIdleClose = std::chrono::milliseconds(15000);
constexpr double kFirstAskPart = 0.1;  // fraction of the drain grace period
constexpr Ms kEndMost = 3000;          // limit for a graceful shutdown
constexpr std::chrono::milliseconds kEndLook{5};
constexpr int kDescriptorsMost = 1 << 20;
constexpr size_t kBufferBytesMost = size_t{64} << 20;

constexpr const char* kSettings =
    R"({"peers_total":1,"shapes":["std"],)"
    R"("specifics":{"cores_by_kind":[8],"memory_by_kind_mb":[1000],"class_threads":[1]},)"
    R"("ceilings":{"cancel":true,"try_limit":1,"dial_timeout":250000000,"conn_idle":15000000000},)"
    R"("profiles":[{"name":"lookup","semantics":"idempotent","slo":800000000,"credit":1.0,)"
    R"("deadline":4000000000}]})";

Settings read_settings() {
  rapidjson::Document settings;
  settings.Parse(kSettings);
  return parse_settings(settings);
}

std::string json_list(const std::vector<std::string>& texts) {
  std::string out;
  for (const std::string& text : texts) out += fmt::format("{}\"{}\"", out.empty() ? "" : ",", text);
  return "[" + out + "]";
}

// Builds the `fleet` section of a gateway's operator file and parses it with the production parser.
config::OperatorConfig::Cluster read_fleet_section(const SimulatedGatewayOptions& options) {
  std::string text = fmt::format(R"({{"fleet":{{"on":true,"site":"{}","listen":"{}","keepers":{},)",
                                 options.site, options.address, json_list(options.keepers));
  if (!options.reached_at.empty()) text += fmt::format(R"("reached_at":"{}",)", options.reached_at);
  if (!options.folder.empty()) text += fmt::format(R"("folder":"{}",)", options.folder);
  text += fmt::format(R"("lease_ms":{},"duties":{}}}}})", options.lease_ms, json_list(options.leases));
  const config::ParsedConfig parsed = config::parse_operator_config(text);
  if (!parsed.is_valid())
    throw ScaleError(fmt::format("simulated gateway {}: {}: {}", options.address, parsed.diagnostics[0].path,
                                 parsed.diagnostics[0].message));
  return parsed.values.cluster;
}

// Discards every response: a simulated gateway has no clients.
class NoClients : public ResponseSink {
 public:
  void answer(CallId, std::string_view) override {}
  void shed(CallId, std::optional<Duration>) override {}
  void fail(CallId, std::string_view) override {}
  void answer_paged(CallId, ResultHandle) override {}
};

// A random seed, drawn as the program draws it: no two incarnations may share one.
uint64_t draw_of_this_start() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

double thread_cpu_us(pthread_t thread) {
  clockid_t clock{};
  timespec time{};
  if (::pthread_getcpuclockid(thread, &clock) != 0 || ::clock_gettime(clock, &time) != 0) return 0;
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

}  // namespace

Ms read_report_clock() { return boot_clock_ms(); }

// One incarnation: the reactor, its thread and everything that runs on it.
struct SimulatedGateway::Running {
  explicit Running(const SimulatedGatewayOptions& options)
      : settings(read_settings()),
        engines(loop, counters, {kConnectMost, kIdleClose}),
        fleet(make_fleet(options)),
        core(settings, options.seed, fleet ? static_cast<ResponseSink&>(*fleet) : no_clients, engines,
             counters, [](const EngineHealthChange&) {}) {
    loop.set_limits(kDescriptorsMost, kBufferBytesMost);
    engines.set_core(core);
    if (fleet) fleet->set_core(core);
    follow_list(options);
    waker = std::make_unique<net::Waker>(loop, [this] { run_posted(); });
    loop.on_turn = [this](TimePoint now) { return turn(now); };
    thread = std::thread([this] { loop.run(); });
  }
  ~Running() {
    post([this] { loop.stop(); });
    thread.join();
  }

  SimulatedGatewayReport report() {
    std::promise<SimulatedGatewayReport> promise;
    post([&] { promise.set_value(report_now()); });
    SimulatedGatewayReport out = promise.get_future().get();
    out.cpu_us = thread_cpu_us(thread.native_handle());
    return out;
  }

  void begin_end() {
    post([this] {
      if (fleet) fleet->begin_shutdown(loop.now(), loop.now() + duration_of(kEndMost));
    });
  }
  bool has_left() {
    std::promise<bool> promise;
    post([&] { promise.set_value(!fleet || fleet->is_shut_down()); });
    return promise.get_future().get();
  }

 private:
  std::unique_ptr<cluster::ClusterService> make_fleet(const SimulatedGatewayOptions& options) {
    if (options.keepers.empty()) return nullptr;
    const config::OperatorConfig::Cluster section = read_fleet_section(options);
    cluster::ClusterOptions terms = cluster::options_from(section);
    terms.random_seed = draw_of_this_start();
    return std::make_unique<cluster::ClusterService>(
        loop, counters, terms, no_clients,
        [this](log::Level, std::string_view event, log::Fields fields) { note(event, fields); });
  }

  void follow_list(const SimulatedGatewayOptions& options) {
    int64_t last = 0;
    if (!options.known_list.empty()) {
      std::string line = options.known_list;
      std::optional<proto::BusEvent> event = proto::read_bus_line(line);
      if (!event) throw ScaleError("simulated gateway: its engine list cannot be read");
      last = event->offset;
      net::apply_endpoint_event(core, loop.now(), std::move(*event));
    }
    if (options.bus.empty()) return;
    bus = std::make_unique<net::EndpointWatcher>(
        loop, counters, options.bus, kConnectMost,
        duration_of(kFirstAskPart * number_setting(settings, "drain grace")), options.seed);
    bus->watch(core, last);
  }

  std::optional<TimePoint> turn(TimePoint now) {
    if (bus) bus->run_due(now);
    engines.run_due(now);
    if (fleet) fleet->due(now);
    if (const uint64_t updates = counters.counts["bus events"]; updates != list_updates) {
      list_updates = updates;
      list_updated_at = read_report_clock();
    }
    std::optional<TimePoint> due = engines.next_due();
    if (bus) due = earlier_of<TimePoint>(bus->next_due(), due);
    if (fleet) due = earlier_of<TimePoint>(fleet->next_due(now), due);
    return due;
  }

  void note(std::string_view event, log::Fields fields) {
    using Kind = LeaseEvent::Kind;
    static constexpr std::pair<std::string_view, Kind> kKinds[] = {{"lease.acquired", Kind::kTaken},
                                                                   {"lease.renewed", Kind::kRenewed},
                                                                   {"lease.released", Kind::kLeft},
                                                                   {"lease.lost", Kind::kLost}};
    if (event == "consensus.replica_ready") record_ready = true;
    for (const auto& [name, kind] : kKinds) {
      if (event != name) continue;
      LeaseEvent& lease_event = lease_events.emplace_back();
      lease_event.kind = kind;
      for (const log::Field& field : fields) {
        if (field.name == "lease") lease_event.lease = field.value;
        if (field.name == "epoch") lease_event.epoch = std::strtoull(field.value.c_str(), nullptr, 10);
        if (field.name == "at_ms") lease_event.at = std::strtod(field.value.c_str(), nullptr);
        if (field.name == "until_ms") lease_event.until = std::strtod(field.value.c_str(), nullptr);
      }
    }
  }

  SimulatedGatewayReport report_now() {
    SimulatedGatewayReport out;
    out.is_up = true;
    out.record_ready = record_ready;
    if (fleet) {
      const cluster::ConnectionCounts& counts = fleet->connection_counts();
      out.peers = {counts.frames_in, counts.frames_out, counts.messages_in, counts.messages_out,
                   counts.bytes_in,  counts.bytes_out,  counts.connects};
      out.links_lost = counts.lost;
    }
    out.list_updates = list_updates;
    out.list_updated_at = list_updated_at;
    out.bus_links_lost = counters.counts["bus connections lost"];
    out.lease_events = std::exchange(lease_events, {});
    return out;
  }

  void post(std::function<void()> task) {
    const std::lock_guard lock(mutex);
    posted.push_back(std::move(task));
    waker->wake();
  }

  void run_posted() {
    std::vector<std::function<void()>> tasks;
    {
      const std::lock_guard lock(mutex);
      tasks.swap(posted);
    }
    for (const auto& task : tasks) task();
  }

  const Settings settings;
  bool record_ready = false;
  uint64_t list_updates = 0;
  Ms list_updated_at = 0;
  std::vector<LeaseEvent> lease_events;
  net::Loop loop;
  Metrics counters;
  NoClients no_clients;
  net::EngineConnections engines;
  std::unique_ptr<cluster::ClusterService> fleet;
  Core core;
  std::unique_ptr<net::EndpointWatcher> bus;
  std::unique_ptr<net::Waker> waker;
  std::mutex mutex;
  std::vector<std::function<void()>> posted;
  std::thread thread;
};

SimulatedGateway::SimulatedGateway(SimulatedGatewayOptions options) : options_(std::move(options)) {}

SimulatedGateway::~SimulatedGateway() { kill(); }

void SimulatedGateway::start() {
  if (running_) return;
  try {
    running_ = std::make_unique<Running>(options_);
  } catch (const ScaleError&) {
    throw;
  } catch (const Poco::Exception& error) {
    throw ScaleError(fmt::format("simulated gateway {}: {}", options_.address, error.displayText()));
  } catch (const std::exception& error) {
    throw ScaleError(fmt::format("simulated gateway {}: {}", options_.address, error.what()));
  }
}

void SimulatedGateway::begin_end() {
  if (running_) running_->begin_end();
}

void SimulatedGateway::wait_ended() {
  const Ms began = read_report_clock();
  while (running_ && !running_->has_left() && read_report_clock() < began + kEndMost)
    std::this_thread::sleep_for(kEndLook);
  kill();
}

void SimulatedGateway::kill() { running_.reset(); }

SimulatedGatewayReport SimulatedGateway::report() {
  return running_ ? running_->report() : SimulatedGatewayReport{};
}

}  // namespace firvalve::loadtest
