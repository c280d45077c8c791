// The ids, events and actions of the request scheduler.
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
enum class ConnectionId : uint64_t {};  // chosen by the scheduler, never used twice
using RequestId = int64_t;              // of a JSON-RPC message, from 1, unique within its connection
using GatewayIndex = size_t;            // into the list of gateways

// A call to be made.
struct CallRequest {
  std::string profile;
  bool is_replayable = false;  // running it twice does no harm
  TimePoint deadline;
  std::optional<GatewayIndex> required_gateway;  // that it can be sent to; nothing: any
};

// A gateway's answer to a message.
struct Reply {
  enum class Kind { kAnswered, kRefused, kFailed, kHeartbeat };
  Kind kind = Kind::kAnswered;
  RequestId request = 0;
  std::optional<Duration> retry_after;  // kRefused: nothing of the profile may be sent there for so long
  bool is_healthy = false;              // kHeartbeat
  bool reads_retry_markers = false;     // kHeartbeat
  std::string_view text;                // kFailed: reason; lasts for the call of handle_reply()
};

// Opens a connection to a gateway.
struct Connect {
  ConnectionId connection{};
  GatewayIndex gateway = 0;
};
// Closes a connection. What was asked for before is written first, as far as the system takes it at once.
struct CloseConnection {
  ConnectionId connection{};
};
// Sends one attempt of a call.
struct SendAttempt {
  ConnectionId connection{};
  GatewayIndex gateway = 0;
  RequestId request = 0;
  CallId call{};
  std::string attempt_id;        // 16 hex digits, unique
  std::string first_attempt_id;  // the retry marker: of the call's first attempt; empty: none is to be sent
  Duration timeout{0};           // until the deadline
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
// A call has ended. It comes exactly once for each.
struct EndCall {
  CallId call{};
  Outcome outcome = Outcome::kFailed;
  bool was_cancelled = false;
  bool may_have_run = false;
  int attempts = 0;
  std::optional<GatewayIndex> gateway;  // of the last attempt
  std::optional<Duration> retry_after;  // kRefused: earlier is useless; nothing: not known
  std::string reason;                   // in a few words, for logs
};
// A gateway was ejected or reinstated; the text is for a log.
struct LogGatewayChange {
  GatewayIndex gateway = 0;
  std::string text;
};

// In the order in which they are to be carried out.
using Action =
    std::variant<Connect, CloseConnection, SendAttempt, SendRevoke, SendHeartbeat, EndCall, LogGatewayChange>;
using Actions = std::vector<Action>;

}  // namespace firvalve::client
