// Validates options, commands and addresses, and converts options for the scheduler.
#include "client/validation.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <cmath>
#include <random>
#include <stdexcept>
#include <string_view>

namespace firvalve::client {
namespace {

void require(bool is_valid, const char* option, const char* range) {
  if (!is_valid) throw std::invalid_argument(fmt::format("option {}: must be {}", option, range));
}

// False for NaN.
bool is_within(double value, double min, double max) { return value >= min && value <= max; }

bool is_valid_amount(double value) { return value >= 0 && std::isfinite(value); }

}  // namespace

void check(const Options& options) {
  require(!options.gateways.empty(), "gateways", "at least one HOST:PORT");
  require(is_within(options.max_connections, 1, 1000), "max_connections", "1 to 1,000");
  require(options.max_open_calls >= 1, "max_open_calls", "at least 1");
  require(options.max_answer_bytes >= 1024, "max_answer_bytes", "at least 1,024 bytes");
  require(is_within(options.retry_share, 0, 1), "retry_share", "0 to 1");
  require(is_within(options.retry_window_ms, 100, kMaxTimeoutMs), "retry_window_ms", "100 ms to a day");
  require(is_within(options.max_attempts, 1, 100), "max_attempts", "1 to 100");
  require(is_within(options.backoff_ms, 0, options.max_backoff_ms), "backoff_ms", "0 to max_backoff_ms");
  require(is_within(options.max_backoff_ms, 0, kMaxTimeoutMs), "max_backoff_ms", "0 ms to a day");
  require(is_within(options.max_retry_after_ms, 0, kMaxTimeoutMs), "max_retry_after_ms", "0 ms to a day");
  require(is_within(options.spread_ms, 0, options.max_spread_ms), "spread_ms", "0 to max_spread_ms");
  require(is_within(options.max_spread_ms, 0, kMaxTimeoutMs), "max_spread_ms", "0 ms to a day");
  require(is_within(options.connect_timeout_ms, 1, kMaxTimeoutMs), "connect_timeout_ms", "1 ms to a day");
  require(is_within(options.silence_timeout_ms, 1, kMaxTimeoutMs), "silence_timeout_ms", "1 ms to a day");
  require(is_within(options.idle_timeout_ms, 1, kMaxTimeoutMs), "idle_timeout_ms", "1 ms to a day");
}

void check(const Command& command) {
  const auto require_that = [](bool is_valid, std::string_view problem) {
    if (!is_valid) throw std::invalid_argument(fmt::format("command: {}", problem));
  };
  require_that(!command.profile.empty(), "profile must not be empty");
  require_that(command.profile != "heartbeat" && command.profile != "revoke",
               "profile must not be heartbeat or revoke, which the protocol reserves");
  require_that(command.profile.size() <= 256, "profile must be at most 256 bytes");
  require_that(!command.statement.empty(), "statement must not be empty");
  if (command.statement.size() > kMaxStatementBytes)
    throw std::invalid_argument(fmt::format("command: statement has {} bytes; must be at most {}",
                                            command.statement.size(), kMaxStatementBytes));
  require_that(command.timeout_ms > 0 && command.timeout_ms <= kMaxTimeoutMs,
               "timeout_ms must be above 0 and at most a day");
  require_that(is_valid_amount(command.estimate_ms), "estimate_ms must be 0 or more");
  require_that(is_valid_amount(command.memory_mb), "memory_mb must be 0 or more");
}

Poco::Net::SocketAddress parse_address(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == address.size())
    throw std::invalid_argument(fmt::format("gateway \"{}\": must be HOST:PORT", address));
  try {
    return Poco::Net::SocketAddress(address);
  } catch (const Poco::Exception& error) {
    throw std::invalid_argument(fmt::format("gateway \"{}\": {}", address, error.displayText()));
  }
}

SchedulerOptions scheduler_options(const Options& options) {
  SchedulerOptions out;
  out.gateways = options.gateways.size();
  out.seed = options.seed;
  if (out.seed == 0) {
    std::random_device device;
    out.seed = (static_cast<uint64_t>(device()) << 32) | device();
  }
  out.max_connections = options.max_connections;
  out.max_open_calls = options.max_open_calls;
  out.max_attempts = options.max_attempts;
  out.retry_share = options.retry_share;
  out.retry_window = duration_of(options.retry_window_ms);
  out.backoff = duration_of(options.backoff_ms);
  out.max_backoff = duration_of(options.max_backoff_ms);
  out.max_retry_after = duration_of(options.max_retry_after_ms);
  out.connect_timeout = duration_of(options.connect_timeout_ms);
  out.silence_timeout = duration_of(options.silence_timeout_ms);
  out.idle_timeout = duration_of(options.idle_timeout_ms);
  out.sends_retry_markers = options.send_retry_markers;
  out.outage.spread = duration_of(options.spread_ms);
  out.outage.max_spread = duration_of(options.max_spread_ms);
  out.outage.min_idle_before_close = duration_of(options.idle_timeout_ms);
  return out;
}

}  // namespace firvalve::client
