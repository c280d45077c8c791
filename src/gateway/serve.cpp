#include "gateway/serve.h"

#include <fmt/format.h>
#include <signal.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>

#include "base/monotonic_clock.h"
#include "cluster/cluster_service.h"
#include "config/operator_config.h"
#include "core/settings.h"
#include "log/log.h"
#include "net/client_server.h"
#include "net/clock_watch.h"
#include "net/endpoint_watcher.h"
#include "net/engine_connections.h"
#include "net/signals.h"
#include "net/waker.h"
#include "proto/term.h"
#include "results/paged_result_store.h"
#include "results/segment_files.h"

namespace firvalve {
namespace {

constexpr Ms kEndLook = 5;  // between looks whether all is answered, while ending
// Beside those of the links: standard streams, the reactor, its timer, the listener, files, and some to
// spare.
constexpr int kDescriptorsKept = 20;
// Parts of the memory limit: of links' buffers, of the statements in hand, and of a keeper's record. The rest
// is the program's own.
constexpr double kBufferPart = 0.4, kStatementPart = 0.2, kRecordPart = 0.1;

constexpr double kFirstPart =
    0.1;  // of the grace for drains: by then the event bus is asked for the first time

using log::Level;

constexpr Ms kClockLook = 1000;  // between looks whether the wall clock was stepped

void set_log(log::Log& logger, const config::OperatorConfig::Log& wish) {
  static constexpr std::pair<std::string_view, Level> kLevels[] = {{"debug", Level::kDebug},
                                                                   {"info", Level::kInfo},
                                                                   {"warning", Level::kWarning},
                                                                   {"error", Level::kError}};
  for (const auto& [name, level] : kLevels)
    if (name == wish.level)
      logger.configure(wish.form == "json" ? log::Form::kJson : log::Form::kLogfmt, level);
}

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const rapidjson::Value& field(const rapidjson::Value& of, const char* name) {
  const auto at = of.FindMember(name);
  if (at == of.MemberEnd()) throw ConfigError(fmt::format("configuration: {} is missing", name));
  return at->value;
}

std::string text(const rapidjson::Value& of, const char* name) {
  const rapidjson::Value& v = field(of, name);
  if (!v.IsString()) throw ConfigError(fmt::format("configuration: {} is not a string", name));
  return v.GetString();
}

// What NODE_CONFIG's file says, read whole before any of it is used.
struct GatewayConfig {
  std::string listen, bus;
  uint64_t seed = 0;
  int sockets = 0;
  double memory_mb = 0;
  int64_t last = 0;  // the number of the last event known
  std::vector<proto::BusEvent> known;
  Settings settings;
};

GatewayConfig read_told() {
  const char* const path = std::getenv("NODE_CONFIG");
  if (!path) throw ConfigError("NODE_CONFIG is not set");
  std::ifstream file(path);
  if (!file) throw ConfigError(fmt::format("configuration {} cannot be read", path));
  std::stringstream all;
  all << file.rdbuf();
  const std::string json = all.str();
  rapidjson::Document config;
  config.Parse<rapidjson::kParseIterativeFlag>(json.c_str());
  if (config.HasParseError() || !config.IsObject()) throw ConfigError("configuration is not a JSON object");
  GatewayConfig told;
  const rapidjson::Value& settings = field(config, "settings");
  if (!settings.IsObject()) throw ConfigError("configuration: settings is not an object");
  told.settings = parse_settings(settings);
  told.seed = std::strtoull(text(config, "seed").c_str(), nullptr, 16);
  told.listen = text(config, "listen");
  told.bus = text(config, "bus");
  const rapidjson::Value& limits = field(config, "limits");
  if (!limits.IsObject() || !field(limits, "sockets").IsInt())
    throw ConfigError("configuration: limits.sockets");
  if (!field(limits, "memory_mb").IsNumber()) throw ConfigError("configuration: limits.memory_mb");
  told.sockets = field(limits, "sockets").GetInt();
  told.memory_mb = field(limits, "memory_mb").GetDouble();
  const rapidjson::Value& known = field(config, "known");
  if (!known.IsObject()) throw ConfigError("configuration: known is not an object");
  const rapidjson::Value& batch = field(known, "batch");
  if (!batch.IsArray()) throw ConfigError("configuration: known.batch is not a list");
  for (const rapidjson::Value& one : batch.GetArray()) {
    auto event = proto::read_bus_event(one);
    if (!event) throw ConfigError("configuration: an event of known.batch cannot be read");
    told.known.push_back(std::move(*event));
  }
  const rapidjson::Value& offset = field(known, "offset");
  told.last = offset.IsInt64() ? offset.GetInt64() : 0;
  return told;
}

// A time of the settings; one of nothing is taken as not told.
Ms told_or(const Settings& settings, const char* name, Ms otherwise) {
  const Ms told = number(settings, name, otherwise);
  return told > 0 ? told : otherwise;
}

config::OperatorConfig read_wishes(const std::string& file) {
  if (file.empty()) return {};
  const config::ParsedConfig parsed = config::load_operator_config(file);
  if (parsed.is_valid()) return parsed.values;
  std::string all;
  for (const config::Diagnostic& diagnostic : parsed.diagnostics)
    all += (all.empty() ? "" : "; ") + config::format_diagnostic(file, diagnostic);
  throw ConfigError(all);
}

// The spool with its files, where the operator wants them. The files end before the waker that they ring.
struct ResultStoreWiring {
  ResultStoreWiring(const config::OperatorConfig::Spool& wish, net::Loop& loop, Metrics& counters,
                    log::Log& logger) {
    if (!wish.on) return;
    results::PagedResultStoreOptions options;
    options.retention.memory_bytes = wish.memory_mb * 1e6;
    options.retention.disk_bytes = wish.folder.empty() ? 0 : wish.disk_mb * 1e6;
    options.retention.max_result_bytes = wish.result_mb * 1e6;
    options.retention.lease = duration_of(wish.lease_s * 1000);
    options.retention.max_results = static_cast<size_t>(wish.results);
    options.initial_expected_bytes = wish.first_expected_kb * 1000;
    options.max_backlog_bytes = options.retention.memory_bytes / 4;
    std::random_device device;
    const uint64_t life = (static_cast<uint64_t>(device()) << 32) | device();
    spool = std::make_unique<results::PagedResultStore>(
        options, life, [&counters](std::string_view what) { counters.add(what); });
    if (wish.folder.empty()) return;
    waker = std::make_unique<net::Waker>(loop);  // the turn that follows looks at what the files have done
    results::SegmentFiles::Options files_options;
    files_options.folder = wish.folder;
    files_options.boot = results::read_boot_time();
    files = std::make_unique<results::SegmentFiles>(files_options, time_point_of(loop.now()),
                                                    [w = waker.get()] { w->wake(); });
    if (files->truncated_segments() + files->corrupt_results() > 0)
      logger.write(time_point_of(loop.now()), Level::kWarning, "parts of the spool's folder left out",
                   {{"component", "spool"},
                    {"torn_tails_cut", std::to_string(files->truncated_segments())},
                    {"results_broken", std::to_string(files->corrupt_results())}});
    spool->attach_storage(time_point_of(loop.now()), *files, files->take_recovered_results(),
                          files->lease_offset());
  }
  std::unique_ptr<net::Waker> waker;
  std::unique_ptr<results::SegmentFiles> files;
  std::unique_ptr<results::PagedResultStore> spool;
};

using LogSink = std::function<void(Level, std::string_view, log::Fields)>;

void tell_bus_change(const LogSink& say, const net::EndpointChange& change) {
  using Kind = net::EndpointChange::Kind;
  const auto offset = std::to_string(change.offset);
  const auto address = std::string(change.address);
  switch (change.kind) {
    case Kind::kConnected:
      return say(Level::kInfo, "connected", {{"component", "bus"}, {"address", address}, {"from", offset}});
    case Kind::kLost:
      return say(Level::kInfo, "connection lost",
                 {{"component", "bus"}, {"address", address}, {"why", std::string(name_of(change.why))}});
    case Kind::kMoveDue:
      return say(Level::kInfo, "moves to another address", {{"component", "bus"}, {"address", address}});
    case Kind::kListTaken:
      return say(Level::kInfo, "list of engines changed",
                 {{"component", "bus"},
                  {"offset", offset},
                  {"serving", std::to_string(change.serving)},
                  {"draining", std::to_string(change.draining)},
                  {"gone", std::to_string(change.gone)}});
  }
}

void tell_command_event(log::Log& logger, TimePoint now, const CommandEvent& event) {
  logger.write(
      now, Level::kDebug, name_of(event.kind),
      {{"component", "command"},
       {"command", std::string(event.command)},
       {"profile", std::string(event.profile)},
       {"engine", std::string(event.engine)},
       {"attempt", std::to_string(event.attempts)},
       {"outcome", event.kind == CommandEvent::Kind::kAttemptFinished ? std::string(name_of(event.outcome))
                                                                      : std::string()},
       {"why", std::string(name_of(event.reason))},
       {"took_ms", fmt::format("{:.1f}", to_ms(event.duration.value_or(Duration{})))}});
}

// Single commands, attempts and connections are told at the level `debug` alone: they are many.
void observe(Core& core, net::ClientServer& clients, net::EngineConnections& engines, log::Log& logger) {
  core.set_observer([&logger](TimePoint now, const CommandEvent& event) {
    if (logger.level() == Level::kDebug) tell_command_event(logger, now, event);
  });
  const auto told_as = [&logger](const char* component) {
    return [&logger, component](Ms now, const net::ConnectionEnded& ended) {
      if (logger.level() != Level::kDebug) return;
      logger.write(time_point_of(now), Level::kDebug, "connection ended",
                   {{"component", component},
                    {"peer", std::string(ended.peer)},
                    {"why", std::string(name_of(ended.why))},
                    {"open_calls", std::to_string(ended.open_calls)}});
    };
  };
  clients.observe(told_as("clients"));
  engines.observe(told_as("engines"));
}

cluster::ClusterOptions fleet_options(const config::OperatorConfig::Fleet& wish, double memory) {
  cluster::ClusterOptions options = cluster::options_from(wish);
  options.max_register_bytes = static_cast<size_t>(kRecordPart * memory);
  std::random_device device;
  options.random_seed = (static_cast<uint64_t>(device()) << 32) | device();
  return options;
}

}  // namespace

int serve(const std::string& operator_file) {
  net::hold_signals();
  const config::OperatorConfig wishes = read_wishes(operator_file);
  GatewayConfig told = read_told();
  // Guards against a spool that takes the memory which connections and statements need: the gateway would be
  // ended for it. Half is more than they ever had.
  if (wishes.spool.on && wishes.spool.memory_mb > told.memory_mb / 2)
    throw ConfigError(fmt::format("{}: spool.memory_mb: {} is more than half of the gateway's own {} MB",
                                  operator_file, wishes.spool.memory_mb, told.memory_mb));
  const Settings& settings = told.settings;
  const double bytes = told.memory_mb * 1024 * 1024;
  log::Log logger;
  set_log(logger, wishes.log);
  net::Loop loop;
  loop.limit(told.sockets - kDescriptorsKept, static_cast<size_t>(kBufferPart * bytes));
  Metrics counters;
  const Ms longest = to_ms(longest_client_timeout(settings).value_or(Duration{}));
  const Ms connect = told_or(settings, "connect time-out", 250),
           idle = told_or(settings, "idle close", 15000);
  net::ClientServer clients(loop, counters);
  clients.read_marks(wishes.clients.marks);
  net::EngineConnections engines(loop, counters, {connect, idle});
  const auto say = [&](Level level, std::string_view event, log::Fields fields) {
    logger.write(time_point_of(loop.now()), level, event, fields);
  };
  std::unique_ptr<cluster::ClusterService> peers;
  if (wishes.fleet.on)
    peers = std::make_unique<cluster::ClusterService>(loop, counters, fleet_options(wishes.fleet, bytes),
                                                      clients, say);
  Core core(settings, told.seed, peers ? static_cast<ResponseSink&>(*peers) : clients, engines, counters,
            [&](const EngineHealthChange& change) {
              const bool is_ejected = change.health != EngineHealth::kReinstated;
              say(Level::kWarning, is_ejected ? "engine.ejected" : "engine.reinstated",
                  {{"component", "policy"},
                   {"engine", std::string(change.engine)},
                   {"why", is_ejected ? std::string(name_of(change.health)) : std::string()}});
            });
  core.set_max_statement_bytes(static_cast<size_t>(kStatementPart * bytes));
  engines.serve(core);
  if (peers) {
    peers->run_on(core);
    clients.ask_fleet(*peers);
  }
  ResultStoreWiring shelving(wishes.spool, loop, counters, logger);
  if (wishes.spool.on) {
    engines.limit_page(static_cast<size_t>(wishes.spool.page_kb * 1000));
    core.set_result_store(*shelving.spool);
    clients.read_pages(*shelving.spool);
    shelving.spool->on_space_freed = [&core](TimePoint now) { core.result_space_available(now); };
  }
  observe(core, clients, engines, logger);
  net::EndpointWatcher bus(loop, counters, told.bus, connect, kFirstPart * number(settings, "drain grace"),
                           told.seed);

  for (proto::BusEvent& event : told.known) net::tell_roster(core, loop.now(), std::move(event));
  bus.follow(core, told.last);
  bus.on_unreadable = [&](std::string_view line) {
    say(Level::kWarning, "a line of the event bus cannot be read; connecting anew",
        {{"component", "bus"}, {"line", std::string(line)}});
  };
  bus.on_change = [&](Ms, const net::EndpointChange& change) { tell_bus_change(say, change); };
  clients.listen(told.listen, core);
  Ms ended_at = 0;  // SIGTERM came then
  net::Signals signals(loop, [&](int number) {
    if (number == SIGUSR1) {
      if (peers) peers->log_status();
      return say(Level::kInfo, "counters", {{"component", "gateway"}, {"counts", counters.text()}});
    }
    // The event bus has moved. Everything else that a new file may say holds from the next start.
    if (number == SIGHUP) {
      counters.add("configurations read anew");
      // Each file by itself: a fault in one leaves the other its effect.
      const auto try_to = [&](const std::function<void()>& take) {
        try {
          take();
        } catch (const std::exception& e) {
          say(Level::kError, "the one before stays in force", {{"component", "gateway"}, {"why", e.what()}});
        }
      };
      say(Level::kInfo, "configuration read anew", {{"component", "gateway"}});
      try_to([&] { bus.move(loop.now(), read_told().bus); });
      try_to([&] {
        if (!operator_file.empty()) set_log(logger, read_wishes(operator_file).log);
      });
      return;
    }
    if (ended_at > 0) return;
    ended_at = loop.now();
    const Ms answered_by = ended_at + proto::answers_end(longest);
    core.begin_shutdown(time_point_of(ended_at), time_point_of(answered_by));
    if (peers) peers->begin_shutdown(time_point_of(ended_at), time_point_of(answered_by));
    say(Level::kInfo, "ending: everything taken is answered first", {{"component", "gateway"}});
  });
  say(Level::kInfo, "serving", {{"component", "gateway"}, {"address", told.listen}});
  net::ClockWatch clock_watch;
  Ms clock_looked_at = 0;
  const auto watch_clock = [&](Ms now) {
    if (now < clock_looked_at + kClockLook) return;
    clock_looked_at = now;
    const std::optional<Ms> step = clock_watch.step(monotonic_ms(), wall_clock_ms());
    if (!step) return;
    counters.add("wall clock steps");
    say(Level::kWarning, "the wall clock was stepped",
        {{"component", "gateway"}, {"by_ms", fmt::format("{:.0f}", *step)}});
  };
  loop.on_turn = [&](Ms now) {
    watch_clock(now);
    bus.due(now);
    logger.write_suppressed(time_point_of(now));
    engines.due(now);
    if (shelving.spool) shelving.spool->handle_due(time_point_of(now));
    clients.due(now);
    if (peers) peers->due(time_point_of(now));
    core.decide(time_point_of(now));
    const bool settled = ended_at > 0 && now >= ended_at + proto::kComingOn &&
                         core.unanswered_call_count() == 0 && clients.unsent() == 0 &&
                         (!shelving.spool || !shelving.spool->has_pending_reads()) &&
                         (!peers || peers->is_shut_down());
    if (settled && clients.leave(now)) loop.stop();
    if (ended_at > 0 && now >= ended_at + proto::leaving_end(longest)) loop.stop();
    if (ended_at > 0) return now + kEndLook;
    const Ms fleet_due = peers ? to_ms(peers->next_due(time_point_of(now))) : 0;
    const std::optional<TimePoint> results_due = shelving.spool ? shelving.spool->next_due() : std::nullopt;
    const Ms spooled = results_due ? to_ms(*results_due) : 0;
    const std::optional<TimePoint> log_due = logger.next_due();
    const Ms logged = log_due ? to_ms(*log_due) : 0;
    return sooner(sooner(sooner(spooled, fleet_due), logged),
                  sooner(sooner(bus.next_due(), clients.next_due()),
                         sooner(engines.next_due(), to_ms(core.next_due().value_or(TimePoint{})))));
  };
  loop.run();
  say(Level::kInfo, "counters", {{"component", "gateway"}, {"counts", counters.text()}});
  return 0;
}

}  // namespace firvalve
