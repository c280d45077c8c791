#include "gateway/call.h"

#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "client/client.h"

namespace firvalve {
namespace {

using client::Outcome;

struct CallOptions {
  client::Options client;
  client::Command command;
  std::string effect = "non-replayable";
  int count = 1;
  double rate = 0;  // a second; 0: as fast as they end, one after the other
  bool json = false, quiet = false;
  // Paged:
  std::string out, resume;
  uint64_t from = 1;
};

int exit_of(Outcome outcome, bool may_have_run) {
  switch (outcome) {
    case Outcome::kAnswered:
      return kExitAnswered;
    case Outcome::kRefused:
      return kExitRefused;
    case Outcome::kFailed:
      return kExitFailed;
    case Outcome::kUnknown:
      return kExitUnknown;
    case Outcome::kExpired:
      return may_have_run ? kExitUnknown : kExitFailed;
  }
  return kExitFailed;
}

// What became of the calls of one run, as their callbacks tell it.
struct Tally {
  std::mutex mutex;
  std::array<uint64_t, 5> ends{};
  std::vector<double> answered_after;  // ms from the intended start
  int exit_code = kExitAnswered;       // the worst

  void add(const client::Result& r, double after) {
    const std::lock_guard lock(mutex);
    ++ends[static_cast<size_t>(r.outcome)];
    if (r.outcome == Outcome::kAnswered) answered_after.push_back(after);
    exit_code = std::max(exit_code, exit_of(r.outcome, r.may_have_run));
  }
};

double quantile(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) return 0;
  const auto at = static_cast<size_t>(std::ceil(q * static_cast<double>(sorted.size())));
  return sorted[std::clamp<size_t>(at, 1, sorted.size()) - 1];
}

std::string summary(Tally& tally, const client::Stats& s, double took_s) {
  std::sort(tally.answered_after.begin(), tally.answered_after.end());
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  w.SetMaxDecimalPlaces(3);
  const auto count = [&](const char* name, uint64_t value) {
    w.Key(name);
    w.Uint64(value);
  };
  w.StartObject();
  count("calls", s.calls);
  for (size_t i = 0; i < tally.ends.size(); ++i)
    count(std::string(client::name_of(static_cast<Outcome>(i))).c_str(), tally.ends[i]);
  count("sends", s.attempts);
  count("repeats", s.retries + s.crossing_retries);
  count("stopped_here", s.refused_unsent);
  count("connects", s.connects);
  count("reconnects", s.reconnects);
  count("late_answers", s.late_answers);
  w.Key("seconds");
  w.Double(took_s);
  w.Key("latency_ms");
  w.StartObject();
  for (const auto& [name, q] : {std::pair("p50", 0.5), {"p90", 0.9}, {"p99", 0.99}, {"max", 1.0}}) {
    w.Key(name);
    w.Double(quantile(tally.answered_after, q));
  }
  w.EndObject();
  w.EndObject();
  return buffer.GetString();
}

void tell(const client::Result& r) {
  if (r.outcome == Outcome::kAnswered) return;
  std::string line = fmt::format("firvalve call: {}", client::name_of(r.outcome));
  if (r.cancelled) line += ", cancelled";
  if (!r.why.empty()) line += ": " + r.why;
  if (r.retry_after_ms > 0) line += fmt::format("; come back in {:.0f} ms", r.retry_after_ms);
  if (r.outcome != Outcome::kRefused) line += r.may_have_run ? "; it may have run" : "; it did not run";
  std::fprintf(stderr, "%s\n", line.c_str());
}

// Reads pages into a file, or to standard output.
int run_pages(const CallOptions& o, client::PageReader& pages) {
  std::FILE* const file = o.out.empty() ? stdout : std::fopen(o.out.c_str(), o.from > 1 ? "ab" : "wb");
  if (!file) {
    std::fprintf(stderr, "firvalve call: %s cannot be written\n", o.out.c_str());
    return kExitUsage;
  }
  const bool progress = !o.quiet && ::isatty(STDERR_FILENO) && !o.out.empty();
  std::string rows;
  using Next = client::PageReader::Next;
  Next next;
  while ((next = pages.next(rows)) == Next::kPage) {
    if (std::fwrite(rows.data(), 1, rows.size(), file) != rows.size()) {
      std::fprintf(stderr, "firvalve call: %s cannot be written; page %llu is the last whole one\n",
                   o.out.c_str(), static_cast<unsigned long long>(pages.at() - 1));
      next = Next::kFailed;
      break;
    }
    if (progress)
      std::fprintf(stderr, "\rpage %llu of %llu", static_cast<unsigned long long>(pages.at()),
                   static_cast<unsigned long long>(pages.pages()));
  }
  if (progress) std::fputc('\n', stderr);
  if ((o.out.empty() ? std::fflush(file) : std::fclose(file)) != 0) next = Next::kFailed;
  if (next == Next::kEnd) {
    pages.release();
    return kExitAnswered;
  }
  if (!o.quiet)
    std::fprintf(stderr, "firvalve call: %s after page %llu\n",
                 next == Next::kGone ? "the result is gone" : "no gateway answered",
                 static_cast<unsigned long long>(pages.at()));
  return kExitFailed;
}

int run_paged(const CallOptions& o) {
  client::Client client(o.client);
  if (!o.resume.empty()) {
    client::PageReader pages(client, o.client.gateways, o.resume, o.command.key, o.from, {});
    return run_pages(o, pages);
  }
  const client::Result r = client.call(o.command);
  if (r.outcome != Outcome::kAnswered) {
    if (!o.quiet) tell(r);
    return exit_of(r.outcome, r.may_have_run);
  }
  if (!o.quiet && !r.token.empty())
    std::fprintf(stderr, "firvalve call: token %s at %s, %llu pages, %llu rows\n", r.token.c_str(),
                 r.gateway.c_str(), static_cast<unsigned long long>(r.pages),
                 static_cast<unsigned long long>(r.total_rows));
  client::PageReader pages(client, r, o.command.key, {});
  return run_pages(o, pages);
}

int run_call(const CallOptions& o) {
  using Clock = std::chrono::steady_clock;
  client::Options options = o.client;
  options.max_open_calls = std::max<size_t>(options.max_open_calls, 100000);
  options.log = [quiet = o.quiet](client::LogLevel, std::string_view line) {
    if (!quiet) std::fprintf(stderr, "firvalve call: %.*s\n", static_cast<int>(line.size()), line.data());
  };
  client::Client client(options);
  Tally tally;
  const auto start = Clock::now();
  const auto since = [](Clock::time_point from) {
    return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
  };
  // With rows on standard output nothing else goes there.
  const auto take = [&](const client::Result& r, Clock::time_point intended) {
    tally.add(r, since(intended));
    if (!o.json && r.outcome == Outcome::kAnswered) std::fwrite(r.rows.data(), 1, r.rows.size(), stdout);
    if (o.count == 1 && !o.quiet) tell(r);
  };
  if (o.rate > 0) {
    // Open loop: each call has its moment, however those before it fare.
    for (int i = 0; i < o.count; ++i) {
      const auto at = start + std::chrono::duration_cast<Clock::duration>(
                                  std::chrono::duration<double>(static_cast<double>(i) / o.rate));
      std::this_thread::sleep_until(at);
      client.send(o.command, [&take, at](const client::Result& r) { take(r, at); });
    }
  } else {
    for (int i = 0; i < o.count; ++i) {
      const auto at = Clock::now();
      take(client.call(o.command), at);
    }
  }
  client.close(o.command.timeout_ms + 1000);
  std::fflush(stdout);
  if (o.json) std::printf("%s\n", summary(tally, client.stats(), since(start) / 1000).c_str());
  return tally.exit_code;
}

}  // namespace

void add_call(CLI::App& app, int& exit_code) {
  auto o = std::make_shared<CallOptions>();
  o->command.timeout_ms = 2000;
  CLI::App* const call =
      app.add_subcommand("call", "Sends a statement through gateways; rows go to standard output");
  call->add_option("--gateway", o->client.gateways, "HOST:PORT, several with commas")
      ->required()
      ->delimiter(',');
  call->add_option("--profile", o->command.profile, "the class of query");
  call->add_option("--timeout", o->command.timeout_ms, "ms for the whole of it")->capture_default_str();
  call->add_option("--estimate", o->command.estimate_ms, "ms of work on one core");
  call->add_option("--memory", o->command.memory_mb, "MB that it will need");
  call->add_option("--effect", o->effect, "whether running it twice does harm")
      ->check(CLI::IsMember({"replayable", "non-replayable"}))
      ->capture_default_str();
  call->add_option("--count", o->count, "send it so many times")->check(CLI::Range(1, 100000000));
  call->add_option("--rate", o->rate, "so many a second, whether or not those before have ended")
      ->check(CLI::PositiveNumber);
  call->add_option("--connections", o->client.max_connections, "to each gateway, at most")
      ->capture_default_str();
  call->add_option("--seed", o->client.seed, "of its random draws; 0: from the system");
  call->add_flag("--json", o->json, "one line of JSON on standard output in place of rows");
  call->add_flag("--quiet", o->quiet, "nothing on standard error");
  call->add_flag("--paged", o->command.paged,
                 "as pages, where the gateway gives them; the token goes to standard error");
  call->add_option("--out", o->out, "write the rows of --paged or --resume to this file");
  call->add_option("--key", o->command.key, "bind the pages to this key");
  call->add_option("--resume", o->resume, "read on with this token; no statement is sent");
  call->add_option("--from", o->from, "with --resume: the first page; the file is added to from 2 on")
      ->check(CLI::Range(uint64_t{1}, uint64_t{1} << 40));
  call->add_option("--merge", o->command.run_once_key,
                   "run it once under this name, however many gateways are asked (implies replayable)");
  call->add_option("statement", o->command.statement, "what is to be run");
  call->footer(
      "Exit: 0 answered, 2 usage, 3 refused (it never ran), 4 failed, 5 unknown (it may have run).\n"
      "With --count the worst of them.");
  call->callback([o, &exit_code] {
    o->command.effect = o->effect == "replayable" || !o->command.run_once_key.empty()
                            ? client::Effect::kReplayable
                            : client::Effect::kNonReplayable;
    try {
      exit_code = o->command.paged || !o->resume.empty() ? run_paged(*o) : run_call(*o);
    } catch (const std::invalid_argument& e) {
      std::fprintf(stderr, "firvalve call: %s\n", e.what());
      exit_code = kExitUsage;
    }
  });
}

void add_ping(CLI::App& app, int& exit_code) {
  struct PingOptions {
    std::vector<std::string> gateways;
    double timeout = 1000;
  };
  auto o = std::make_shared<PingOptions>();
  CLI::App* const ping = app.add_subcommand("ping", "Asks gateways for a heartbeat");
  ping->add_option("--gateway", o->gateways, "HOST:PORT, several with commas")->required()->delimiter(',');
  ping->add_option("--timeout", o->timeout, "ms for each")->check(CLI::PositiveNumber)->capture_default_str();
  ping->footer("Exit: 0 all healthy, 2 usage, 4 otherwise.");
  ping->callback([o, &exit_code] {
    for (const std::string& gateway : o->gateways) {
      try {
        const client::Ping p = client::ping(gateway, o->timeout);
        const char* const state = !p.answered ? p.why.c_str() : p.healthy ? "healthy" : "not healthy";
        std::printf("%s: %s, %.1f ms%s\n", gateway.c_str(), state, p.took_ms,
                    p.reads_retry_markers ? ", reads marks" : "");
        if (!p.healthy) exit_code = std::max(exit_code, kExitFailed);
      } catch (const std::invalid_argument& e) {
        std::fprintf(stderr, "firvalve ping: %s\n", e.what());
        exit_code = kExitUsage;
        return;
      }
    }
  });
}

}  // namespace firvalve
