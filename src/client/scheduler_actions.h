// Ids, event payloads and actions of the request scheduler.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "client/outcome.h"

namespace firvalve::client {

enum class CallId : uint64_t {};        // chosen by the caller, unique within a scheduler
enum class ConnectionId : uint64_t {};  // chosen by the scheduler, never reused
using RequestId = int64_t;              // JSON-RPC id, from 1, unique within a connection
using GatewayIndex = size_t;            // index into Options::gateways

// A new call.
struct CallRequest {
  std::string profile;
  bool is_replayable = false;  // safe to run twice
  TimePoint deadline;
  std::optional<GatewayIndex> required_gateway;  // empty: any gateway
};

// A gateway's answer to a message.
struct Reply {
  enum class Kind { kAnswered, kRefused, kFailed, kHeartbeat };
  Kind kind = Kind::kAnswered;
  RequestId request = 0;
  std::optional<Duration> retry_after;  // kRefused: time to send no call of the profile to this gateway
  bool is_healthy = false;              // kHeartbeat
  bool reads_retry_markers = false;     // kHeartbeat
  std::string_view text;                // kFailed: error message; valid during handle_reply()
};

// Opens a connection to a gateway.
struct Connect {
  ConnectionId connection{};
  GatewayIndex gateway = 0;
};
// Closes a connection. Earlier messages are written first, as far as the kernel accepts them without
// blocking.
struct CloseConnection {
  ConnectionId connection{};
};
// Sends one attempt of a call.
struct SendAttempt {
  ConnectionId connection{};
  GatewayIndex gateway = 0;
  RequestId request = 0;
  CallId call{};
  std::string attempt_id;        // unique, 16 hex digits
  std::string first_attempt_id;  // retry marker; empty: send none
  Duration timeout{0};           // time left until the deadline
};
// Revokes an attempt at its gateway.
struct SendRevoke {
  ConnectionId connection{};
  RequestId request = 0;
  std::string attempt_id;
};
struct SendHeartbeat {
  ConnectionId connection{};
  RequestId request = 0;
};
// Reports the end of a call, exactly once per call.
struct EndCall {
  CallId call{};
  Outcome outcome = Outcome::kFailed;
  bool was_cancelled = false;
  bool may_have_run = false;
  int attempts = 0;
  std::optional<GatewayIndex> gateway;  // of the last attempt; empty: none was made
  std::optional<Duration> retry_after;  // kRefused: time to wait before the next try; empty: unknown
  std::string reason;                   // short text for logs
};
// Logs that a gateway was ejected or reinstated.
struct LogGatewayChange {
  GatewayIndex gateway = 0;
  std::string text;
};

// Executed in order.
using Action =
    std::variant<Connect, CloseConnection, SendAttempt, SendRevoke, SendHeartbeat, EndCall, LogGatewayChange>;
using Actions = std::vector<Action>;

}  // namespace firvalve::client
