// Implements `firvalve-loadtest run`.
#include "simulation/run.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <memory>

#include "base/process_memory.h"
#include "simulation/world.h"

namespace firvalve::simulation {
namespace {

double peak_mb() {
  constexpr double kBytesPerMegabyte = 1024 * 1024;
  const std::optional<ProcessMemory> memory = read_process_memory("self");
  return memory ? static_cast<double>(memory->peak_bytes) / kBytesPerMegabyte : 0;
}

// Prints a table with one line for each second: results of the clients, events, and the state at its end.
void print_timeline(const std::vector<WorldSecond>& timeline) {
  const auto count = [](uint64_t value) { return static_cast<unsigned long long>(value); };
  std::printf("%4s %6s %7s %7s %7s | %8s %8s %7s %7s %7s | %7s %7s %7s | %7s %7s %7s %7s %7s %7s\n", "s",
              "asked", "served%", "target%", "again", "attempts", "answered", "full", "timeout", "cancel",
              "connect", "refused", "timeout", "in hand", "running", "queued", "conns", "ejected", "thr/cor");
  for (size_t i = 0; i < timeline.size(); ++i) {
    const WorldSecond& t = timeline[i];
    const double asked = std::max(1.0, static_cast<double>(t.submitted));
    std::printf(
        "%4zu %6llu %7.1f %7.1f %7llu | %8llu %8llu %7llu %7llu %7llu | %7llu %7llu %7llu | %7llu %7llu "
        "%7llu "
        "%7llu %7llu %7.2f\n",
        i, count(t.submitted), 100 * static_cast<double>(t.served) / asked,
        100 * static_cast<double>(t.in_target) / asked, count(t.client_retries), count(t.attempts),
        count(t.answered), count(t.full), count(t.timed_out), count(t.cancelled), count(t.connects),
        count(t.connects_refused), count(t.connects_timed_out), count(t.unanswered), count(t.running),
        count(t.queued), count(t.connections), count(t.ejected), t.threads_per_core);
  }
}

void print_recovery(const WorldOptions& options, const WorldOutcome& outcome) {
  for (const WorldFault& t : options.faults) {
    const auto begins = static_cast<size_t>(t.at / 1000);
    const auto ends = static_cast<size_t>(std::ceil((t.at + t.duration) / 1000));
    if (const auto seconds = seconds_to_recover(outcome, begins, ends))
      std::printf("recovered %zu s after second %zu\n", *seconds, ends);
    else
      std::printf("not recovered from second %zu on\n", ends);
  }
}

int run(const WorldOptions& options, bool timeline) {
  const auto start = std::chrono::steady_clock::now();
  const WorldOutcome o = play(options);
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  if (timeline) print_timeline(o.timeline);
  std::printf("%-8s %9s %9s %7s %7s %7s %9s %9s\n", "profile", "asked", "in target", "late", "shed", "failed",
              "p50 ms", "p99 ms");
  for (size_t i = 0; i < o.profiles.size(); ++i) {
    const ProfileOutcome& p = o.profiles[i];
    std::printf("%-8s %9llu %9llu %7llu %7llu %7llu %9.1f %9.1f\n", o.names[i].c_str(),
                static_cast<unsigned long long>(p.submitted), static_cast<unsigned long long>(p.in_target),
                static_cast<unsigned long long>(p.late), static_cast<unsigned long long>(p.shed),
                static_cast<unsigned long long>(p.failed), p.latency.quantile(0.5), p.latency.quantile(0.99));
  }
  std::printf(
      "%llu commands, %llu attempts, %llu events; %.1f s of %.1f s, %.1f us a command; %.0f MB at most\n",
      static_cast<unsigned long long>(o.commands), static_cast<unsigned long long>(o.attempts),
      static_cast<unsigned long long>(o.events), took, options.duration / 1000,
      o.commands ? 1e6 * took / static_cast<double>(o.commands) : 0, peak_mb());
  std::printf("%.0f%% of the shed and failed commands ended while at least half of the cores were idle\n",
              100 * o.idle_shed);
  std::printf("%.1f%% of the commands were served, with client retries\n",
              100 * served_share(o, 0, o.timeline.size()));
  print_recovery(options, o);
  std::printf("history %016llx\n", static_cast<unsigned long long>(o.hash));
  if (options.keep_history) std::fputs(o.verdict.text().c_str(), stdout);
  return o.verdict.good() ? 0 : 1;
}

// Replaces the options with those of crowded_cluster(), except for values set on the command line.
void use_crowded_cluster(const CLI::App& line, WorldOptions& options) {
  WorldOptions crowded = crowded_cluster(options.gateways);
  crowded.seed = options.seed;
  if (line.count("--rate") > 0) crowded.rate = options.rate;
  if (line.count("--engines") > 0) crowded.engines = options.engines;
  options = crowded;
}

// Disables one model, to see whether it causes an effect.
void disable_model(const std::string& model, WorldOptions& options) {
  if (model == "retries") options.client_retries.max_retries = 0;
  if (model == "connections") options.engine.connections.modelled = false;
  if (model == "slots") options.engine.slots = 0;
  if (model == "contention") options.engine.contention_loss = 0;
  if (model == "cancel") options.may_cancel = false;
  if (model == "notes") options.progress_period = 0;
  if (model == "unasked") options.max_abandoned_run = 0;
  if (model == "cancel-at-timeout") options.cancels_at_timeout = false;
  if (model == "attempts") options.max_attempts = 1;
}

}  // namespace

void add_run(CLI::App& app, int& exit_code) {
  struct CommandLine {
    WorldOptions options;
    double seconds = 60;
    std::vector<double> silent, dies, burst;
    std::vector<std::string> without;
    bool no_history = false, crowded = false, timeline = false;
  };
  auto o = std::make_shared<CommandLine>();
  CLI::App* const run_app = app.add_subcommand(
      "run", "Simulates engines and clients in virtual time with real gateway cores and policy modules");
  run_app->add_option("--engines", o->options.engines)->check(CLI::Range(1, 100000))->capture_default_str();
  run_app->add_option("--gateways", o->options.gateways)->check(CLI::Range(1, 10000))->capture_default_str();
  run_app->add_option("--cores", o->options.engine.cores, "cores of an engine")
      ->check(CLI::Range(1.0, 1024.0))
      ->capture_default_str();
  run_app->add_option("--rate", o->options.rate, "commands a second at all gateways together")
      ->check(CLI::Range(0.1, 1e7))
      ->capture_default_str();
  run_app->add_option("--seconds", o->seconds, "duration in virtual time")
      ->check(CLI::Range(0.1, 1e6))
      ->capture_default_str();
  run_app->add_option("--seed", o->options.seed)->capture_default_str();
  run_app->add_option("--list-late", o->options.list_delay, "maximum delay of endpoint list updates, ms")
      ->check(CLI::Range(0.0, 1e6))
      ->capture_default_str();
  run_app
      ->add_option(
          "--silent", o->silent,
          "START DURATION ENGINE [ENGINES]: s, s, first engine, number of engines that become silent")
      ->expected(3, 4);
  run_app
      ->add_option("--dies", o->dies,
                   "START DURATION ENGINE [ENGINES]: like --silent, but the engine processes crash")
      ->expected(3, 4);
  run_app->add_option("--burst", o->burst, "START DURATION FACTOR: s, s, multiple of the command rate")
      ->expected(3);
  run_app->add_flag("--crowded", o->crowded,
                    "many gateways per engine, short timeouts, all models enabled: sets all options except "
                    "--gateways, --seed, --seconds, and --rate or --engines if they are given");
  run_app->add_option("--without", o->without, "disables a model that --crowded enables")
      ->check(CLI::IsMember({"retries", "connections", "slots", "contention", "cancel", "notes", "attempts",
                             "unasked", "cancel-at-timeout"}));
  run_app->add_flag("--timeline", o->timeline, "prints one line for each second");
  run_app->add_flag(
      "--no-history", o->no_history,
      "does not check the rules: the history of a long run of a large system needs too much memory");
  run_app->footer("Exit status: 0 no rule violated, 1 a rule violated, 2 usage error.");
  run_app->callback([o, run_app, &exit_code] {
    if (o->crowded) use_crowded_cluster(*run_app, o->options);
    for (const std::string& model : o->without) disable_model(model, o->options);
    const auto add = [&](const std::vector<double>& words, WorldFault::Kind kind) {
      if (words.empty()) return true;
      const double engines = words.size() > 3 ? words[3] : 1;
      if (words[0] < 0 || words[1] < 0 || words[2] < 0 || engines < 1 ||
          words[2] + engines > o->options.engines) {
        std::fprintf(
            stderr,
            "firvalve-loadtest run: a fault has a negative time or names an engine that does not exist\n");
        exit_code = 2;
        return false;
      }
      o->options.faults.push_back({kind, words[0] * 1000, words[1] * 1000, static_cast<uint32_t>(words[2]),
                                   static_cast<uint32_t>(engines)});
      return true;
    };
    if (!add(o->silent, WorldFault::Kind::kSilent) || !add(o->dies, WorldFault::Kind::kCrash)) return;
    if (!o->burst.empty())
      o->options.faults.push_back(
          {WorldFault::Kind::kBurst, o->burst[0] * 1000, o->burst[1] * 1000, 0, 0, o->burst[2]});
    o->options.duration = o->seconds * 1000;
    o->options.keep_history = !o->no_history;
    exit_code = run(o->options, o->timeline);
  });
}

}  // namespace firvalve::simulation
