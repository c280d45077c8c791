// Why a connection ended: for the counters and the log.
#pragma once

#include <functional>
#include <string_view>

#include "net/connection.h"

namespace firvalve::net {

enum class ConnectionEnd {
  kRefused,
  kConnectTimeout,
  kClosedByPeer,
  kReset,
  kSilent,       // said nothing for longer than it may
  kNoAnswer,     // in the time that the protocol states for one
  kUnreadable,   // bytes that are no answer, or an answer nobody asked for
  kNotKept,      // its last answer asked for the end, or leaves it in doubt
  kIdle,         // rested for as long as it may
  kAttemptOver,  // ended with the attempt that it carried
  kNotListed,    // its engine is listed no longer, or has another address
  kEvicted,      // for want of descriptors or buffers
  kInGoodOrder,  // a lingering close was finished, or had its time
};

std::string_view name_of(ConnectionEnd end);

// The end as the socket told it.
ConnectionEnd end_of(Connection::End end);

struct ConnectionEnded {
  ConnectionEnd why = ConnectionEnd::kClosedByPeer;
  std::string_view peer;  // an engine's address; empty: a client
  size_t open_calls = 0;  // commands that waited on it
};
using ConnectionObserver = std::function<void(Ms now, const ConnectionEnded& ended)>;

}  // namespace firvalve::net
