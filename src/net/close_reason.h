// Why a connection was closed: for the metrics and the log.
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
  kReadTimeout,      // nothing was read for longer than the peer may be silent
  kResponseTimeout,  // no response within the time that the protocol states for one
  kProtocolError,    // bytes that are no response, or a response to no request
  kNotReusable,      // its last response asked for the close, or leaves the next one in doubt
  kIdleTimeout,
  kAttemptEnded,     // closed with the attempt that it carried
  kEndpointRemoved,  // its engine is no longer listed, or has another address
  kEvicted,          // for want of descriptors or buffers
  kGracefulClose     // a lingering close was finished, or its time was over
};

std::string_view name_of(CloseReason reason);

// The reason as the socket reported it.
CloseReason close_reason_of(Connection::End end);

struct ConnectionClosed {
  CloseReason reason = CloseReason::kClosedByPeer;
  std::string_view peer;  // an engine's address; empty: a client
  size_t open_calls = 0;  // commands that waited on it
};
// The views are good for the call alone.
using ConnectionObserver = std::function<void(TimePoint now, const ConnectionClosed& closed)>;

}  // namespace firvalve::net
