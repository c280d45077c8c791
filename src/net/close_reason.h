// The reasons for which connections are closed, as metrics and the log report them.
#pragma once

#include <functional>
#include <string_view>

#include "base/time.h"
#include "net/connection.h"

namespace firvalve::net {

enum class CloseReason {
  kRefused,
  kConnectTimeout,
  kClosedByPeer,
  kReset,
  kReadTimeout,      // the peer sent nothing for longer than the protocol allows
  kResponseTimeout,  // no response within the time that the protocol allows
  kProtocolError,    // a malformed or an unsolicited response
  kNotReusable,      // the last response asked for the close, or a duplicate of it may follow
  kIdleTimeout,
  kAttemptEnded,     // the attempt that the connection carried has ended
  kEndpointRemoved,  // the engine is no longer listed, or its address has changed
  kEvicted,          // closed to free a descriptor
  kGracefulClose,    // a lingering close has completed or timed out
  kMemoryLimit       // closed to free buffer memory
};

std::string_view name_of(CloseReason reason);

// The close reason for an end that the socket reported.
CloseReason close_reason_of(Connection::End end);
// The close reason for an eviction.
CloseReason close_reason_of(Connection::EvictionReason reason);

struct ConnectionClosed {
  CloseReason reason = CloseReason::kClosedByPeer;
  std::string_view peer;  // the engine's address; empty: the peer is a client
  size_t open_calls = 0;  // calls that were still without an answer
};
// The views in `closed` are valid only during the call.
using ConnectionObserver = std::function<void(TimePoint now, const ConnectionClosed& closed)>;

}  // namespace firvalve::net
