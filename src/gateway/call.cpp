// Options of `firvalve call` and the execution of a run without paged results.
#include "gateway/call.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

#include "client/client.h"
#include "gateway/call_report.h"
#include "gateway/paged_call.h"

namespace firvalve {
namespace {

using Clock = std::chrono::steady_clock;
using client::Outcome;

struct CallOptions {
  client::Options client;
  client::Command command;
  std::string effect = "non-replayable";
  int count = 1;
  double calls_per_second = 0;  // 0: each call starts when the previous one has ended
  bool prints_json = false, is_quiet = false;
  // For paged results.
  std::string output_file, resume_token;
  uint64_t first_page = 1;
};

Duration time_since(Clock::time_point start) { return Clock::now() - start; }

// Executes `firvalve call` without paged results.
class CallRun {
 public:
  explicit CallRun(const CallOptions& options) : options_(options), client_(client_options(options)) {}

  int run() {
    const Clock::time_point start = Clock::now();
    if (options_.calls_per_second > 0)
      run_open_loop(start);
    else
      run_closed_loop();
    client_.close(options_.command.timeout_ms + 1000);
    std::fflush(stdout);
    if (options_.prints_json)
      std::printf("%s\n", report_.json_summary(client_.stats(), time_since(start)).c_str());
    return report_.exit_code();
  }

 private:
  static client::Options client_options(const CallOptions& options) {
    client::Options client_options = options.client;
    client_options.max_open_calls = std::max<size_t>(client_options.max_open_calls, 100000);
    client_options.log = [is_quiet = options.is_quiet](client::LogLevel, std::string_view line) {
      if (!is_quiet)
        std::fprintf(stderr, "firvalve call: %.*s\n", static_cast<int>(line.size()), line.data());
    };
    return client_options;
  }

  // Starts each call at its scheduled time, even if earlier calls are still open.
  void run_open_loop(Clock::time_point start) {
    for (int i = 0; i < options_.count; ++i) {
      const auto intended_start =
          start + std::chrono::duration_cast<Clock::duration>(
                      std::chrono::duration<double>(static_cast<double>(i) / options_.calls_per_second));
      std::this_thread::sleep_until(intended_start);
      client_.send(options_.command, [this, intended_start](const client::Result& result) {
        handle_result(result, intended_start);
      });
    }
  }

  // Starts each call when the previous one has ended.
  void run_closed_loop() {
    for (int i = 0; i < options_.count; ++i) {
      const Clock::time_point intended_start = Clock::now();
      handle_result(client_.call(options_.command), intended_start);
    }
  }

  // Standard output carries either rows or the JSON summary; all other output goes to standard error.
  void handle_result(const client::Result& result, Clock::time_point intended_start) {
    report_.add(result, time_since(intended_start));
    if (!options_.prints_json && result.outcome == Outcome::kAnswered)
      std::fwrite(result.rows.data(), 1, result.rows.size(), stdout);
    if (options_.count == 1 && !options_.is_quiet) print_result(result);
  }

  const CallOptions& options_;
  client::Client client_;
  CallReport report_;
};

int run(const CallOptions& options) {
  try {
    if (options.command.paged || !options.resume_token.empty())
      return run_paged_call({options.client, options.command, options.output_file, options.resume_token,
                             options.first_page, options.is_quiet});
    return CallRun(options).run();
  } catch (const std::invalid_argument& error) {
    std::fprintf(stderr, "firvalve call: %s\n", error.what());
    return kExitUsage;
  }
}

}  // namespace

void add_call_command(CLI::App& app, int& exit_code) {
  auto options = std::make_shared<CallOptions>();
  options->command.timeout_ms = 2000;
  CLI::App* const call =
      app.add_subcommand("call", "Sends a statement to a gateway and writes the rows to standard output");
  call->add_option("--gateway", options->client.gateways,
                   "addresses of the gateways, HOST:PORT, separated by commas")
      ->required()
      ->delimiter(',');
  call->add_option("--profile", options->command.profile, "profile of the command");
  call->add_option("--timeout", options->command.timeout_ms,
                   "timeout of the call, all attempts included, in ms")
      ->capture_default_str();
  call->add_option("--estimate", options->command.estimate_ms,
                   "estimated CPU time of the statement, in ms on one core");
  call->add_option("--memory", options->command.memory_mb, "estimated memory of the statement, in MB");
  call->add_option("--effect", options->effect,
                   "replayable: the statement may run more than once; non-replayable: it must not")
      ->check(CLI::IsMember({"replayable", "non-replayable"}))
      ->capture_default_str();
  call->add_option("--count", options->count, "number of times to send the statement")
      ->check(CLI::Range(1, 100000000));
  call->add_option("--rate", options->calls_per_second,
                   "calls per second, started on schedule even if earlier calls are still open (default: one "
                   "at a time)")
      ->check(CLI::PositiveNumber);
  call->add_option("--connections", options->client.max_connections,
                   "maximum number of connections to each gateway")
      ->capture_default_str();
  call->add_option("--seed", options->client.seed,
                   "seed of the random number generator; 0: seeded by the system");
  call->add_flag("--json", options->prints_json,
                 "write a summary as one line of JSON to standard output instead of rows");
  call->add_flag("--quiet", options->is_quiet, "write nothing to standard error");
  call->add_flag("--paged", options->command.paged,
                 "request a paged result if the gateway supports it; its token is written to standard error");
  call->add_option("--out", options->output_file, "file for the rows of --paged or --resume");
  call->add_option("--key", options->command.key, "require this key to read the pages");
  call->add_option("--resume", options->resume_token,
                   "continue to read the result with this token; no statement is sent");
  call->add_option("--from", options->first_page,
                   "first page to read with --resume; above 1, the rows are appended to the file")
      ->check(CLI::Range(uint64_t{1}, uint64_t{1} << 40));
  call->add_option("--merge", options->command.run_once_key,
                   "name of a run-once job: the statement runs once, even if several gateways are asked "
                   "(implies replayable)");
  call->add_option("statement", options->command.statement, "the statement to run");
  call->footer(
      "Exit codes: 0 answered, 2 usage error, 3 refused (did not run), 4 failed, 5 unknown (may have run).\n"
      "With --count: the highest exit code of all calls.");
  call->callback([options, &exit_code] {
    options->command.effect = options->effect == "replayable" || !options->command.run_once_key.empty()
                                  ? client::Effect::kReplayable
                                  : client::Effect::kNonReplayable;
    exit_code = run(*options);
  });
}

}  // namespace firvalve
