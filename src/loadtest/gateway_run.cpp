// The scale run's measurements of a real gateway in front of scripted engines: processor time, memory,
// connections to engines and start-up time, each as a series over a size (engines, client connections, rate).
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <thread>

#include "loadtest/command_load.h"
#include "loadtest/idle_clients.h"
#include "loadtest/parts.h"
#include "loadtest/process_usage.h"
#include "loadtest/real_gateway.h"
#include "loadtest/scripted_engines.h"

namespace firvalve::loadtest {
namespace {

using Clock = std::chrono::steady_clock;

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kAnsweredLeast = 0.9;  // share of the offered rate; below it, a gateway may be starved
constexpr double kCoreFull = 0.9;   // share of a core at which a single-threaded gateway counts as saturated
constexpr double kBusyRate = 1000;  // commands per second at which a gateway soon uses all engines
// Maximum total rate, in commands per second, of the gateways that are measured at the same time: they share
// this machine and the engines.
constexpr double kRateAtOnceForTime = 2800;
constexpr double kRateAtOnceForCounts = 4200;
constexpr int kAttempts = 3;            // per point, while the machine starves a gateway of processor time
constexpr double kUnderWayMost = 10;    // tolerated difference of commands in flight at a window's ends
constexpr double kSettleSeconds = 0.5;  // between opening connections or commands and reading memory
constexpr double kSecondsBetweenProgress = 5;
constexpr std::chrono::milliseconds kBetweenChecks{100};
constexpr size_t kDescriptorsSpare = 1500;    // for clients, and for second connections to one engine
constexpr size_t kDescriptorsOfClients = 40;  // for the client library, per gateway
constexpr int kIdleViewEngines = 8;           // while client connections are varied
constexpr int kHandViewEngines = 64;          // while commands in flight are varied

// The sizes that are varied, and the warm-up and measuring times of each point.
struct Plan {
  std::vector<int> engines = {8, 64, 256, 512, 1100, 2200};
  std::vector<int> connections = {250, 500, 1000, 2000, 4000, 6000};
  std::vector<int> commands_in_hand = {100, 200, 400, 800, 1600, 3200};
  std::vector<double> rates = {200, 1364};                 // commands a second
  std::vector<double> further_rates = {25, 50, 100, 400};  // for engine connections by rate
  std::vector<int> zones = {1, 20};
  double busy_warm_up_s = 5;     // at kBusyRate and above: by then the gateway has connected to all engines
  double slow_warm_up_s = 20;    // below kBusyRate: by then the first connections have been closed as idle
  double seconds = 10;           // window over which processor time is measured
  double slow_long_run_s = 120;  // warm-up before engine connections are counted, below kBusyRate
  double busy_long_run_s = 60;   // the same at kBusyRate and above
  int starts = 5;                // of a gateway at each size; the median is reported
};

Plan plan_for(const ScaleOptions& options) {
  Plan plan;
  plan.seconds = options.seconds;
  if (options.quick) {
    plan.engines = {4, 8, 16, 32, 64, 128};
    plan.connections = {10, 20, 40, 80, 160, 320};
    plan.commands_in_hand = {5, 10, 20, 40, 80, 160};
    plan.rates = {50, 200};
    plan.further_rates = {10, 25, 100, 150};
    plan.busy_warm_up_s = plan.slow_warm_up_s = 1;
    plan.seconds = std::min(options.seconds, 1.0);
    plan.slow_long_run_s = plan.busy_long_run_s = 2;
    plan.starts = 1;
  }
  if (!options.engines.empty()) plan.engines = options.engines;
  if (!options.connections.empty()) plan.connections = options.connections;
  if (!options.rates.empty()) {
    plan.rates = options.rates;
    plan.further_rates.clear();
  }
  plan.zones = options.zones == 1 ? std::vector<int>{1} : std::vector<int>{1, options.zones};
  for (auto* const sizes : {&plan.engines, &plan.connections}) std::sort(sizes->begin(), sizes->end());
  std::sort(plan.rates.begin(), plan.rates.end());
  return plan;
}

// The load of one gateway: the engines in its list and the rate of commands.
struct Load {
  ScriptedEngines::View view;
  double rate = 0;  // commands a second
};

struct Observation {
  Load load;
  double microseconds_per_command = 0;
  double core_share = 0;
  double answered_share = 0;  // answered commands as a share of those offered
  client::Stats commands;     // since the start of the load
  MemoryUse memory;
  size_t engine_connections = 0;
};

// True if the observation must be discarded: the gateway answered too few commands although its core was not
// saturated, so the machine gave it too little processor time. A saturated gateway that answers too few
// commands is a valid result for its size.
bool is_starved(const Observation& seen) {
  return seen.answered_share < kAnsweredLeast && seen.core_share < kCoreFull;
}

std::string point_text(const Observation& seen) {
  return fmt::format(
      "gateway: {} engines in {} zones, {} commands a second: {:.0f} us a command, {:.3f} of a core, {:.1f} "
      "MB, "
      "{} connections to engines, {:.0f} in 100 answered",
      seen.load.view.engines, seen.load.view.zones, seen.load.rate, seen.microseconds_per_command,
      seen.core_share, seen.memory.resident_mb, seen.engine_connections, 100 * seen.answered_share);
}

std::string starved_text(const Observation& seen) {
  const client::Stats& ends = seen.commands;
  return fmt::format(
      "a gateway before {} engines in {} zones answered {:.0f} in 100 of {} commands a second, at {:.2f} of "
      "a "
      "core ({} answered, {} refused, {} of them by the client itself, {} failed, {} unknown, {} expired, {} "
      "open): the machine is too small or too busy",
      seen.load.view.engines, seen.load.view.zones, 100 * seen.answered_share, seen.load.rate,
      seen.core_share, ends.answered, ends.refused, ends.refused_without_attempt, ends.failed, ends.unknown,
      ends.expired, ends.open);
}

// A real gateway with a steady load of commands, measured over a window.
class LoadedGateway {
 public:
  LoadedGateway(const std::string& program, const ScriptedEngines& engines, const Load& load, uint64_t seed)
      : load_(load), gateway_(program, engines, load.view), commands_(gateway_.address(), load.rate, seed) {}

  void check_running() { gateway_.check_running(); }

  void begin_window() {
    began_ = Clock::now();
    processor_before_s_ = processor_seconds(gateway_.process());
    answered_before_ = commands_.answered();
  }

  Observation end_window() {
    const double processor_s = processor_seconds(gateway_.process()) - processor_before_s_;
    const double seconds = std::chrono::duration<double>(Clock::now() - began_).count();
    const double answered = static_cast<double>(commands_.answered() - answered_before_);
    Observation seen;
    seen.load = load_;
    seen.microseconds_per_command = processor_s * kMicrosecondsPerSecond / answered;
    seen.core_share = processor_s / seconds;
    seen.answered_share = std::min(1.0, (answered + kUnderWayMost) / (load_.rate * seconds));
    seen.commands = commands_.stats();
    seen.memory = memory_of(gateway_.process());
    seen.engine_connections = connections_to(gateway_.process(), kEngineAddresses);
    return seen;
  }

 private:
  const Load load_;
  RealGateway gateway_;
  SteadyCommands commands_;
  Clock::time_point began_;
  double processor_before_s_ = 0;
  uint64_t answered_before_ = 0;
};

// Runs all measurements of the gateway part in order and collects their series.
class GatewayRun {
 public:
  GatewayRun(const ScaleOptions& options, const Progress& progress)
      : plan_(plan_for(options)),
        program_(options.program.empty() ? default_gateway_program() : options.program),
        seed_(options.seed),
        progress_(progress) {
    need_descriptors(descriptors_needed());
    engines_ = std::make_unique<ScriptedEngines>(
        std::max({plan_.engines.back(), kIdleViewEngines, kHandViewEngines}));
  }

  std::vector<Measurement> measure() {
    measure_start();
    measure_connections();
    measure_commands_in_hand();
    for (const int zones : plan_.zones)
      for (const double rate : plan_.rates) measure_processor(zones, rate);
    measure_long_run();
    return std::move(measured_);
  }

 private:
  size_t descriptors_needed() const {
    size_t engine_connections = 0;
    size_t gateways = 0;
    for (const bool busy : {false, true}) {
      for (const Load& load : long_run_loads(busy)) {
        engine_connections += static_cast<size_t>(load.view.engines);
        ++gateways;
      }
    }
    const size_t listeners = static_cast<size_t>(plan_.engines.back());
    const size_t in_long_run = engine_connections + gateways * kDescriptorsOfClients;
    const size_t idle = static_cast<size_t>(plan_.connections.back());
    return listeners + std::max(in_long_run, idle) + kDescriptorsSpare;
  }

  Measurement& add(const std::string& name, const std::string& unit, const std::string& varied,
                   std::map<std::string, double> fixed) {
    Measurement m;
    m.name = name;
    m.unit = unit;
    m.varied = varied;
    m.fixed = std::move(fixed);
    m.command = "firvalve-loadtest scale --part gateway";
    m.seed = seed_;
    measured_.push_back(std::move(m));
    return measured_.back();
  }

  // Sleeps for `seconds` and reports progress. `check_all` is called repeatedly and throws to end the run if
  // a gateway process has exited.
  template <class CheckAll>
  void wait(double seconds, const std::string& what, CheckAll&& check_all) {
    const auto began = Clock::now();
    double told_s = 0;
    for (;;) {
      const double passed_s = std::chrono::duration<double>(Clock::now() - began).count();
      if (passed_s >= seconds) return;
      check_all();
      if (passed_s - told_s >= kSecondsBetweenProgress) {
        told_s = passed_s;
        progress_(fmt::format("gateway: {}: {:.0f} of {:.0f} s", what, passed_s, seconds));
      }
      std::this_thread::sleep_for(kBetweenChecks);
    }
  }

  // Measures all loads at the same time, each on its own gateway.
  std::vector<Observation> observe(const std::vector<Load>& loads, double warm_up_s, double seconds,
                                   const std::string& what) {
    std::vector<std::unique_ptr<LoadedGateway>> gateways;
    for (const Load& load : loads) {
      progress_(fmt::format("gateway: {}: {} engines in {} zones, {} commands a second", what,
                            load.view.engines, load.view.zones, load.rate));
      gateways.push_back(std::make_unique<LoadedGateway>(program_, *engines_, load, seed_ + gateways.size()));
    }
    const auto check_all = [&] {
      for (const auto& gateway : gateways) gateway->check_running();
    };
    wait(warm_up_s, what, check_all);
    for (const auto& gateway : gateways) gateway->begin_window();
    wait(seconds, what, check_all);
    std::vector<Observation> seen;
    seen.reserve(gateways.size());
    for (const auto& gateway : gateways) seen.push_back(gateway->end_window());
    for (const Observation& o : seen) progress_(point_text(o));
    return seen;
  }

  // Like observe(), but repeats all loads if the machine starved any gateway; throws ScaleError after
  // kAttempts.
  std::vector<Observation> observe_answered(const std::vector<Load>& loads, double warm_up_s, double seconds,
                                            const std::string& what) {
    for (int attempt = 1;; ++attempt) {
      std::vector<Observation> seen = observe(loads, warm_up_s, seconds, what);
      const auto starved = std::find_if(seen.begin(), seen.end(), is_starved);
      if (starved == seen.end()) return seen;
      const std::string why = starved_text(*starved);
      if (attempt == kAttempts) throw ScaleError(why);
      progress_("gateway: " + why + "; once more");
    }
  }

  void measure_start() {
    Measurement& start = add("gateway.start_to_ready", "ms", "engines", {{"zones", plan_.zones.back()}});
    for (const int engines : plan_.engines) {
      progress_(fmt::format("gateway: start to ready, {} engines", engines));
      std::vector<double> took_ms;
      took_ms.reserve(static_cast<size_t>(plan_.starts));
      for (int i = 0; i < plan_.starts; ++i)
        took_ms.push_back(
            RealGateway(program_, *engines_, {engines, plan_.zones.back()}).start_to_ready_ms());
      std::sort(took_ms.begin(), took_ms.end());
      start.points.push_back({static_cast<double>(engines), took_ms[took_ms.size() / 2]});
    }
  }

  void measure_connections() {
    Measurement& memory = add("gateway.memory", "MB", "connections", {{"engines", kIdleViewEngines}});
    for (const int connections : plan_.connections) {
      progress_(fmt::format("gateway: memory, {} idle client connections", connections));
      RealGateway gateway(program_, *engines_, {kIdleViewEngines, 1});
      const IdleClients clients(gateway.address(), connections);
      wait(kSettleSeconds, "idle connections", [&] { gateway.check_running(); });
      const double resident_mb = memory_of(gateway.process()).resident_mb;
      if (const int open = clients.still_open(); open < connections)
        throw ScaleError(fmt::format("a gateway kept {} of {} idle client connections", open, connections));
      memory.points.push_back({static_cast<double>(connections), resident_mb});
    }
  }

  void measure_commands_in_hand() {
    Measurement& memory = add("gateway.memory", "MB", "commands in hand", {{"engines", kHandViewEngines}});
    for (const int commands : plan_.commands_in_hand) {
      progress_(fmt::format("gateway: memory, {} commands in hand", commands));
      RealGateway gateway(program_, *engines_, {kHandViewEngines, 1});
      const CommandsInHand in_hand(gateway.address(), commands, seed_);
      wait(kSettleSeconds, "commands in hand", [&] { gateway.check_running(); });
      const double resident_mb = memory_of(gateway.process()).resident_mb;
      if (const auto open = in_hand.open(); open < static_cast<uint64_t>(commands))
        throw ScaleError(fmt::format("a gateway kept {} of {} commands in hand", open, commands));
      memory.points.push_back({static_cast<double>(commands), resident_mb});
    }
  }

  // Measures the loads in batches; the total rate of a batch stays within `rate_at_once` unless it is a
  // single load.
  std::vector<Observation> observe_in_batches(const std::vector<Load>& loads, double rate_at_once,
                                              double warm_up_s, const std::string& what) {
    std::vector<Observation> seen;
    std::vector<Load> batch;
    double batch_rate = 0;
    const auto observe_batch = [&] {
      for (const Observation& o : observe_answered(batch, warm_up_s, plan_.seconds, what)) seen.push_back(o);
      batch.clear();
      batch_rate = 0;
    };
    for (const Load& load : loads) {
      if (!batch.empty() && batch_rate + load.rate > rate_at_once) observe_batch();
      batch.push_back(load);
      batch_rate += load.rate;
    }
    if (!batch.empty()) observe_batch();
    return seen;
  }

  void measure_processor(int zones, double rate) {
    std::vector<Load> loads;
    for (const int engines : plan_.engines) loads.push_back({{engines, zones}, rate});
    const double warm_up_s = rate < kBusyRate ? plan_.slow_warm_up_s : plan_.busy_warm_up_s;
    const std::vector<Observation> seen =
        observe_in_batches(loads, kRateAtOnceForTime, warm_up_s, "processor time");
    const std::map<std::string, double> fixed = {{"zones", zones}, {"rate", rate}};
    add_series("gateway.cpu_per_command", "us", fixed, seen,
               [](const Observation& o) { return o.microseconds_per_command; });
    add_series("gateway.core_share", "cores", fixed, seen, [](const Observation& o) { return o.core_share; });
  }

  template <class ValueOf>
  void add_series(const std::string& name, const std::string& unit,
                  const std::map<std::string, double>& fixed, const std::vector<Observation>& seen,
                  ValueOf&& value_of) {
    Measurement& series = add(name, unit, "engines", fixed);
    for (const Observation& o : seen)
      series.points.push_back({static_cast<double>(o.load.view.engines), value_of(o)});
  }

  // The planned size: the largest one that is fitted. The size after it is held out to check the fit.
  int planned_engines() const { return plan_.engines[std::max<size_t>(2, plan_.engines.size()) - 2]; }

  std::vector<Load> long_run_loads(bool busy) const {
    std::vector<Load> loads;
    for (const double rate : plan_.rates)
      for (const int engines : plan_.engines)
        if (busy == (rate >= kBusyRate)) loads.push_back({{engines, plan_.zones.back()}, rate});
    if (busy) return loads;
    for (const double rate : plan_.further_rates)
      loads.push_back({{planned_engines(), plan_.zones.back()}, rate});
    return loads;
  }

  // Measures memory and engine connections after a long warm-up. Processor time is not taken from these runs
  // because too many gateways run at the same time.
  void measure_long_run() {
    std::vector<Observation> seen;
    for (const bool busy : {false, true}) {
      const double warm_up_s = busy ? plan_.busy_long_run_s : plan_.slow_long_run_s;
      for (const Observation& o :
           observe_in_batches(long_run_loads(busy), kRateAtOnceForCounts, warm_up_s, "long run"))
        seen.push_back(o);
    }
    const double zones = plan_.zones.back();
    for (const double rate : plan_.rates) {
      std::vector<Observation> at_rate;
      for (const Observation& o : seen)
        if (o.load.rate == rate) at_rate.push_back(o);
      const double seconds = rate < kBusyRate ? plan_.slow_long_run_s : plan_.busy_long_run_s;
      const std::map<std::string, double> fixed = {{"zones", zones}, {"rate", rate}, {"seconds", seconds}};
      add_series("gateway.memory", "MB", fixed, at_rate,
                 [](const Observation& o) { return o.memory.resident_mb; });
      add_series("gateway.memory_peak", "MB", fixed, at_rate,
                 [](const Observation& o) { return o.memory.peak_mb; });
      add_series("gateway.engine_connections", "count", fixed, at_rate,
                 [](const Observation& o) { return static_cast<double>(o.engine_connections); });
    }
    Measurement& by_rate =
        add("gateway.engine_connections", "count", "rate",
            {{"zones", zones}, {"engines", planned_engines()}, {"seconds", plan_.busy_long_run_s}});
    for (const Observation& o : seen)
      if (o.load.view.engines == planned_engines())
        by_rate.points.push_back({o.load.rate, static_cast<double>(o.engine_connections)});
    std::sort(by_rate.points.begin(), by_rate.points.end(),
              [](const Point& a, const Point& b) { return a.size < b.size; });
  }

  const Plan plan_;
  const std::string program_;
  const uint64_t seed_;
  const Progress& progress_;
  std::unique_ptr<ScriptedEngines> engines_;
  std::vector<Measurement> measured_;
};

}  // namespace

std::vector<Measurement> measure_gateway(const ScaleOptions& options, const Progress& progress) {
  return GatewayRun(options, progress).measure();
}

}  // namespace firvalve::loadtest
