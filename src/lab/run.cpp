#include "lab/run.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>

#include "lab/world.h"

namespace firvalve::lab {
namespace {

double peak_mb() {
  std::ifstream file("/proc/self/status");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
  return 0;
}

int run(const WorldOptions& options) {
  const auto start = std::chrono::steady_clock::now();
  const WorldOutcome o = play(options);
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  std::printf("%-8s %9s %9s %7s %7s %7s %9s %9s\n", "profile", "asked", "in target", "late", "shed", "failed",
              "p50 ms", "p99 ms");
  for (size_t i = 0; i < o.profiles.size(); ++i) {
    const ProfileOutcome& p = o.profiles[i];
    std::printf("%-8s %9llu %9llu %7llu %7llu %7llu %9.1f %9.1f\n", o.names[i].c_str(),
                static_cast<unsigned long long>(p.asked), static_cast<unsigned long long>(p.in_target),
                static_cast<unsigned long long>(p.late), static_cast<unsigned long long>(p.shed),
                static_cast<unsigned long long>(p.failed), p.latency.quantile(0.5), p.latency.quantile(0.99));
  }
  std::printf(
      "%llu commands, %llu sends, %llu events; %.1f s of %.1f s, %.1f us a command; %.0f MB at most\n",
      static_cast<unsigned long long>(o.commands), static_cast<unsigned long long>(o.sends),
      static_cast<unsigned long long>(o.events), took, options.length / 1000,
      o.commands ? 1e6 * took / static_cast<double>(o.commands) : 0, peak_mb());
  std::printf("of what was shed or failed, %.0f in 100 while half of the cores or more stood idle\n",
              100 * o.idle_shed);
  std::printf("history %016llx\n", static_cast<unsigned long long>(o.hash));
  if (options.keep_history) std::fputs(o.verdict.text().c_str(), stdout);
  return o.verdict.good() ? 0 : 1;
}

}  // namespace

void add_run(CLI::App& app, int& exit_code) {
  struct Line {
    WorldOptions options;
    double seconds = 60;
    std::vector<double> silent, dies;
    bool no_history = false;
  };
  auto o = std::make_shared<Line>();
  CLI::App* const run_app =
      app.add_subcommand("run", "Plays a world in virtual time through real cores and modules");
  run_app->add_option("--engines", o->options.engines)->check(CLI::Range(1, 100000))->capture_default_str();
  run_app->add_option("--gateways", o->options.gateways)->check(CLI::Range(1, 10000))->capture_default_str();
  run_app->add_option("--cores", o->options.cores, "of an engine")
      ->check(CLI::Range(1.0, 1024.0))
      ->capture_default_str();
  run_app->add_option("--rate", o->options.rate, "commands a second, all gateways")
      ->check(CLI::Range(0.1, 1e7))
      ->capture_default_str();
  run_app->add_option("--seconds", o->seconds, "of virtual time")
      ->check(CLI::Range(0.1, 1e6))
      ->capture_default_str();
  run_app->add_option("--seed", o->options.seed)->capture_default_str();
  run_app->add_option("--list-late", o->options.list_delay, "ms, at most")
      ->check(CLI::Range(0.0, 1e6))
      ->capture_default_str();
  run_app->add_option("--silent", o->silent, "AT LASTS ENGINE [ENGINES]: s, s, first, how many say nothing")
      ->expected(3, 4);
  run_app->add_option("--dies", o->dies, "AT LASTS ENGINE [ENGINES]: the same, their processes are gone")
      ->expected(3, 4);
  run_app->add_flag("--no-history", o->no_history,
                    "no verdict on the rules: a long run at large size has no room for it");
  run_app->footer("Exit: 0 no rule broken, 1 one was, 2 usage.");
  run_app->callback([o, &exit_code] {
    const auto add = [&](const std::vector<double>& words, Trouble::Kind kind) {
      if (words.empty()) return true;
      const double engines = words.size() > 3 ? words[3] : 1;
      if (words[0] < 0 || words[1] < 0 || words[2] < 0 || engines < 1 ||
          words[2] + engines > o->options.engines) {
        std::fprintf(stderr,
                     "firvalve-lab run: a trouble before the start, or of engines that there are not\n");
        exit_code = 2;
        return false;
      }
      o->options.troubles.push_back({kind, words[0] * 1000, words[1] * 1000, static_cast<uint32_t>(words[2]),
                                     static_cast<uint32_t>(engines)});
      return true;
    };
    if (!add(o->silent, Trouble::Kind::kSilent) || !add(o->dies, Trouble::Kind::kDies)) return;
    o->options.length = o->seconds * 1000;
    o->options.keep_history = !o->no_history;
    exit_code = run(o->options);
  });
}

}  // namespace firvalve::lab
