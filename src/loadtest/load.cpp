// Implements `firvalve-loadtest load`.
#include "loadtest/load.h"

#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sys/resource.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <memory>
#include <mutex>
#include <pcg_random.hpp>
#include <random>
#include <thread>
#include <vector>

#include "client/client.h"
#include "simulation/histogram.h"
#include "simulation/search.h"

namespace firvalve::loadtest {
namespace {

using Clock = std::chrono::steady_clock;
using client::Outcome;

volatile std::sig_atomic_t interrupted = 0;

struct LoadOptions {
  client::Options client;
  client::Command command;
  std::string effect = "replayable", arrivals = "poisson";
  int threads = 2, closed = 0;
  double seconds = 5;
  simulation::SearchOptions search;
  bool json = false;
};

double ms_between(Clock::time_point from, Clock::time_point to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

double cpu_seconds() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  const auto s = [](const timeval& t) { return double(t.tv_sec) + double(t.tv_usec) / 1e6; };
  return s(used.ru_utime) + s(used.ru_stime);
}

// Results of one step. Callbacks of several clients add to it concurrently.
struct Meter {
  std::mutex mutex;
  simulation::Histogram latency, lag;
  std::array<uint64_t, 5> ends{};
  uint64_t asked = 0;

  void add(const client::Result& r, double after) {
    const std::lock_guard lock(mutex);
    ++ends[static_cast<size_t>(r.outcome)];
    if (r.outcome == Outcome::kAnswered) latency.add(after);
  }
};

class Player {
 public:
  explicit Player(const LoadOptions& o) : options_(o) {
    for (int i = 0; i < o.threads; ++i) {
      client::Options c = o.client;
      c.seed = c.seed ? c.seed + static_cast<uint64_t>(i) : 0;
      c.max_open_calls = 200000;
      clients_.push_back(std::make_unique<client::Client>(c));
    }
  }

  // Open loop: each thread sends its part of the rate on its own schedule. Latency is measured from the
  // scheduled time, so that delays in the load generator or behind earlier calls count (no coordinated
  // omission).
  simulation::StepOutcome open(double rate, Meter& meter) {
    return play(meter, rate, [&](int thread, Clock::time_point start, Clock::time_point end) {
      pcg32 chance(static_cast<uint64_t>(thread) + 1, static_cast<uint64_t>(rate));
      std::exponential_distribution<double> gap(rate / options_.threads / 1000);
      const double even = 1000.0 * options_.threads / rate;
      double at_ms = options_.arrivals == "poisson" ? gap(chance) : even * thread / options_.threads;
      for (;;) {
        const auto at = start + std::chrono::duration_cast<Clock::duration>(
                                    std::chrono::duration<double, std::milli>(at_ms));
        if (at >= end || interrupted) return;
        std::this_thread::sleep_until(at);
        {
          const std::lock_guard lock(meter.mutex);
          meter.lag.add(ms_between(at, Clock::now()));
          ++meter.asked;
        }
        clients_[static_cast<size_t>(thread)]->send(options_.command, [&meter, at](const client::Result& r) {
          meter.add(r, ms_between(at, Clock::now()));
        });
        at_ms += options_.arrivals == "poisson" ? gap(chance) : even;
      }
    });
  }

  // Closed loop: keeps `calls` calls in flight; each completed call starts the next.
  simulation::StepOutcome closed(int calls, Meter& meter) {
    std::atomic<bool> over = false;
    std::function<void(int)> next = [&](int thread) {
      if (over || interrupted) return;
      const auto at = Clock::now();
      {
        const std::lock_guard lock(meter.mutex);
        ++meter.asked;
      }
      clients_[static_cast<size_t>(thread)]->send(options_.command, [&, thread, at](const client::Result& r) {
        meter.add(r, ms_between(at, Clock::now()));
        next(thread);
      });
    };
    return play(meter, 0, [&](int thread, Clock::time_point, Clock::time_point end) {
      for (int i = thread; i < calls; i += options_.threads) next(thread);
      std::this_thread::sleep_until(end);
      over = true;
    });
  }

 private:
  template <class Part>
  simulation::StepOutcome play(Meter& meter, double rate, Part&& part) {
    const auto start = Clock::now();
    const auto end =
        start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(options_.seconds));
    const double cpu = cpu_seconds();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(options_.threads));
    for (int i = 0; i < options_.threads; ++i) threads.emplace_back([&, i] { part(i, start, end); });
    for (std::thread& t : threads) t.join();
    simulation::StepOutcome o;
    o.cpu = (cpu_seconds() - cpu) / options_.seconds;
    // Waits for the calls in flight, up to their timeout and 500 ms.
    const auto most =
        Clock::now() + std::chrono::milliseconds(static_cast<int64_t>(options_.command.timeout_ms) + 500);
    for (bool open = true; open && Clock::now() < most;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      open = false;
      for (const auto& c : clients_) open |= c->stats().open > 0;
    }
    const std::lock_guard lock(meter.mutex);
    o.rate = rate;
    o.answered = meter.asked == 0 ? 0 : static_cast<double>(meter.ends[0]) / static_cast<double>(meter.asked);
    o.p99 = meter.latency.quantile(0.99);
    o.lag_p99 = meter.lag.quantile(0.99);
    return o;
  }

  const LoadOptions& options_;
  std::vector<std::unique_ptr<client::Client>> clients_;
};

void tell(const LoadOptions& o, const simulation::StepOutcome& step, const Meter& m, const std::string& why) {
  const double met = static_cast<double>(m.ends[0]) / o.seconds;
  if (!o.json) {
    std::printf("%9.0f %9.0f %9.1f %8.2f %8.2f %8.2f %8.2f %7.1f  %s\n", step.rate, met, 100 * step.answered,
                m.latency.quantile(0.5), m.latency.quantile(0.9), step.p99, m.latency.max(), step.cpu,
                why.c_str());
    std::fflush(stdout);
    return;
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  w.SetMaxDecimalPlaces(3);
  w.StartObject();
  for (const auto& [name, value] : {std::pair("rate", step.rate),
                                    {"answered_a_second", met},
                                    {"answered_share", step.answered},
                                    {"p50_ms", m.latency.quantile(0.5)},
                                    {"p90_ms", m.latency.quantile(0.9)},
                                    {"p99_ms", step.p99},
                                    {"most_ms", m.latency.max()},
                                    {"lag_p99_ms", step.lag_p99},
                                    {"tool_cores", step.cpu}}) {
    w.Key(name);
    w.Double(value);
  }
  for (size_t i = 0; i < m.ends.size(); ++i) {
    w.Key(std::string(client::name_of(static_cast<Outcome>(i))).c_str());
    w.Uint64(m.ends[i]);
  }
  w.Key("why");
  w.String(why.c_str());
  w.EndObject();
  std::printf("%s\n", buffer.GetString());
  std::fflush(stdout);
}

int run_load(LoadOptions& o) {
  std::signal(SIGINT, [](int) { interrupted = 1; });
  o.command.effect = o.effect == "replayable" ? client::Effect::kReplayable : client::Effect::kNonReplayable;
  o.search.max_cpu = 0.9 * (2.0 * o.threads);  // each client has a sender and a socket thread
  if (!o.json)
    std::printf("%9s %9s %9s %8s %8s %8s %8s %7s  %s\n", "asked/s", "answer/s", "in 100", "p50 ms", "p90 ms",
                "p99 ms", "most ms", "cores", "");
  if (o.closed > 0) {
    Meter meter;
    const simulation::StepOutcome step = Player(o).closed(o.closed, meter);
    tell(o, step, meter, interrupted ? "interrupted" : "");
    return 0;
  }
  simulation::Search search(o.search);
  while (!search.done() && !interrupted) {
    Meter meter;
    // Each step uses new clients, because rejections in the previous step would make its clients hold back
    // calls.
    const simulation::StepOutcome step = Player(o).open(search.rate(), meter);
    const std::string why = search.handle(step);
    tell(o, step, meter, why);
  }
  if (o.json) return 0;
  if (search.generator_was_limit())
    std::printf("the tool was the limit; service held at %.0f a second\n", search.max_passed());
  else if (search.min_failed() > 0)
    std::printf("service held at %.0f a second and broke at %.0f\n", search.max_passed(),
                search.min_failed());
  else
    std::printf("service held at every rate asked, up to %.0f a second\n", search.max_passed());
  return 0;
}

}  // namespace

void add_load(CLI::App& app, int& exit_code) {
  auto o = std::make_shared<LoadOptions>();
  o->command.timeout_ms = 2000;
  o->client.max_connections = 8;
  CLI::App* const load =
      app.add_subcommand("load", "Asks gateways at rising rates until service breaks, or in a closed loop");
  load->add_option("--gateway", o->client.gateways, "HOST:PORT, several with commas")
      ->required()
      ->delimiter(',');
  load->add_option("--profile", o->command.profile, "the class of query")->required();
  load->add_option("--timeout", o->command.timeout_ms, "ms")->capture_default_str();
  load->add_option("--estimate", o->command.estimate_ms, "ms of work on one core");
  load->add_option("--memory", o->command.memory_mb, "MB");
  load->add_option("--effect", o->effect)
      ->check(CLI::IsMember({"replayable", "non-replayable"}))
      ->capture_default_str();
  load->add_option("--rate", o->search.first, "a second, of the first step")
      ->check(CLI::Range(1.0, 1e6))
      ->capture_default_str();
  load->add_option("--factor", o->search.factor, "from step to step")
      ->check(CLI::Range(1.01, 100.0))
      ->capture_default_str();
  load->add_option("--steps", o->search.max_steps, "at most")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  load->add_option("--seconds", o->seconds, "of a step")
      ->check(CLI::Range(0.1, 3600.0))
      ->capture_default_str();
  load->add_option("--answered", o->search.min_answered, "service holds while this share is answered")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  load->add_option("--p99", o->search.max_p99, "and 99 in 100 come within this, ms")->capture_default_str();
  load->add_option("--arrivals", o->arrivals)
      ->check(CLI::IsMember({"poisson", "even"}))
      ->capture_default_str();
  load->add_option("--closed", o->closed, "a closed loop with so many calls out")
      ->check(CLI::Range(1, 100000));
  load->add_option("--threads", o->threads, "clients, with a sender each")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  load->add_option("--connections", o->client.max_connections, "of a client to each gateway")
      ->capture_default_str();
  load->add_option("--seed", o->client.seed, "of the clients' draws");
  load->add_flag("--json", o->json, "a line of JSON a step");
  load->add_option("statement", o->command.statement)->required();
  load->callback([o, &exit_code] {
    try {
      exit_code = run_load(*o);
    } catch (const std::invalid_argument& e) {
      std::fprintf(stderr, "firvalve-loadtest load: %s\n", e.what());
      exit_code = 2;
    }
  });
}

}  // namespace firvalve::loadtest
