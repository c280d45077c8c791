// Decides which timeout of a client connection has expired. No I/O and no clock.
//
// A connection rests only between messages: while a message arrives, only the timeout of that message counts,
// however long the connection rested before.
#pragma once

#include <optional>

#include "base/time.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::net {

enum class ClientTimeout {
  kNone,
  kNoMessage,          // connected and sent nothing
  kIncompleteMessage,  // stopped in the middle of a message, or writes it too slowly
  kIdle,               // at rest, without open calls
};

struct ClientActivity {
  bool has_sent_message = false;  // at least one complete message
  bool has_open_calls = false;
  TimePoint last_active_at;  // the connect, the last complete message or the last answer, whichever came last
  std::optional<TimePoint> partial_message_since;  // set while an incomplete message is buffered
};

inline ClientTimeout expired_timeout(const ClientActivity& activity, TimePoint now) {
  if (activity.partial_message_since) {
    const bool is_expired = now - *activity.partial_message_since > proto::kRpcMessageTimeout;
    return is_expired ? ClientTimeout::kIncompleteMessage : ClientTimeout::kNone;
  }
  const Duration rest = now - activity.last_active_at;
  if (!activity.has_sent_message && rest > proto::kRpcMessageTimeout) return ClientTimeout::kNoMessage;
  if (!activity.has_open_calls && rest > proto::kRpcIdleTimeout) return ClientTimeout::kIdle;
  return ClientTimeout::kNone;
}

}  // namespace firvalve::net
