#include "net/close_reason.h"

namespace firvalve::net {

std::string_view name_of(CloseReason reason) {
  static constexpr std::string_view kNames[] = {
      "refused",          "connect timeout", "closed by peer", "reset",        "read timeout",
      "response timeout", "protocol error",  "not reusable",   "idle timeout", "attempt ended",
      "endpoint removed", "evicted",         "graceful close", "memory limit"};
  return kNames[static_cast<size_t>(reason)];
}

CloseReason close_reason_of(Connection::End end) {
  if (end == Connection::End::kRefused) return CloseReason::kRefused;
  return end == Connection::End::kReset ? CloseReason::kReset : CloseReason::kClosedByPeer;
}

CloseReason close_reason_of(Connection::EvictionReason reason) {
  return reason == Connection::EvictionReason::kMemoryLimit ? CloseReason::kMemoryLimit
                                                            : CloseReason::kEvicted;
}

}  // namespace firvalve::net
