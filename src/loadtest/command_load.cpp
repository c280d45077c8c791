// Sends the commands of the load generator through the client library.
#include "loadtest/command_load.h"

#include <algorithm>
#include <chrono>

namespace firvalve::loadtest {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kConnections = 16;       // of SteadyCommands
constexpr int kCommandsPerLink = 16;   // half the limit of open commands per connection
constexpr double kShortCommandMs = 5;  // must match the delay in the statement
constexpr double kLongCommandMs = 15000;
constexpr double kSilenceMs = 10000;
constexpr double kSpreadMs = 100;
constexpr double kSpreadMostMs = 1000;
constexpr size_t kLongStatementBytes = 1000;

client::Options client_options(const std::string& gateway, int connections, uint64_t seed) {
  client::Options options;
  options.gateways = {gateway};
  options.max_connections = connections;
  options.max_open_calls = 100000;
  options.seed = seed;
  // Retry-After is ignored and the silence timeout is long, so that a short stall of the test machine, or a
  // rejection after it, does not make clients pause for seconds: the run would then measure idle clients.
  options.max_retry_after_ms = 0;
  options.silence_timeout_ms = kSilenceMs;
  options.spread_ms = kSpreadMs;
  options.max_spread_ms = kSpreadMostMs;
  return options;
}

client::Command short_command() {
  client::Command command;
  command.profile = "lookup";
  command.statement = "select 1 /*! delay=5 */";
  command.timeout_ms = 4000;
  command.estimate_ms = kShortCommandMs;
  command.memory_mb = 10;
  command.effect = client::Effect::kReplayable;
  return command;
}

client::Command long_command() {
  client::Command command;
  command.profile = "report";
  command.statement = "select 1 /*! delay=15000 */ --";
  command.statement.resize(kLongStatementBytes, ' ');
  command.timeout_ms = 20000;
  command.estimate_ms = kLongCommandMs;
  command.memory_mb = 10;
  command.effect = client::Effect::kReplayable;
  return command;
}

}  // namespace

SteadyCommands::SteadyCommands(const std::string& gateway, double per_second, uint64_t seed)
    : per_second_(per_second),
      client_(client_options(gateway, kConnections, seed)),
      sender_([this](const std::stop_token& stop) { send_until(stop); }) {}

void SteadyCommands::send_until(const std::stop_token& stop) {
  const client::Command command = short_command();
  const auto gap =
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / per_second_));
  for (auto next = Clock::now(); !stop.stop_requested(); next += gap) {
    std::this_thread::sleep_until(next);
    client_.send(command, [this](const client::Result& result) {
      if (result.outcome == client::Outcome::kAnswered) ++answered_;
    });
  }
}

CommandsInHand::CommandsInHand(const std::string& gateway, int count, uint64_t seed)
    : client_(client_options(gateway, std::max(1, count / kCommandsPerLink), seed)) {
  for (int i = 0; i < count; ++i) client_.send(long_command());
}

}  // namespace firvalve::loadtest
