// `firvalve ping`: sends a heartbeat to gateways and prints their state.
#include <algorithm>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "client/client.h"
#include "gateway/call.h"
#include "gateway/call_report.h"

namespace firvalve {

namespace {

struct PingOptions {
  std::vector<std::string> gateways;
  double timeout_ms = 1000;
};

// Pings one gateway and prints its state. Returns false if it is not healthy or has not answered.
bool ping_gateway(const std::string& gateway, double timeout_ms) {
  const client::Ping ping = client::ping(gateway, timeout_ms);
  const char* const state = !ping.answered ? ping.why.c_str() : ping.healthy ? "healthy" : "not healthy";
  std::printf("%s: %s, %.1f ms%s\n", gateway.c_str(), state, ping.elapsed_ms,
              ping.reads_retry_markers ? ", reads retry markers" : "");
  return ping.healthy;
}

int run_ping(const PingOptions& options) {
  int exit_code = kExitAnswered;
  try {
    for (const std::string& gateway : options.gateways)
      if (!ping_gateway(gateway, options.timeout_ms)) exit_code = kExitFailed;
  } catch (const std::invalid_argument& error) {
    std::fprintf(stderr, "firvalve ping: %s\n", error.what());
    return kExitUsage;
  }
  return exit_code;
}

}  // namespace

void add_ping_command(CLI::App& app, int& exit_code) {
  auto options = std::make_shared<PingOptions>();
  CLI::App* const ping = app.add_subcommand("ping", "Sends a heartbeat to gateways and prints their state");
  ping->add_option("--gateway", options->gateways,
                   "addresses of the gateways, HOST:PORT, separated by commas")
      ->required()
      ->delimiter(',');
  ping->add_option("--timeout", options->timeout_ms, "timeout for each gateway, in ms")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  ping->footer("Exit codes: 0 all gateways healthy, 2 usage error, 4 otherwise.");
  ping->callback([options, &exit_code] { exit_code = run_ping(*options); });
}

}  // namespace firvalve
