#include "net/connection_end.h"

namespace firvalve::net {

std::string_view name_of(ConnectionEnd end) {
  static constexpr std::string_view kNames[] = {
      "refused",    "connect time-out", "closed by peer", "reset", "silent",
      "no answer",  "unreadable",       "not kept",       "idle",  "attempt over",
      "not listed", "evicted",          "in good order"};
  return kNames[static_cast<size_t>(end)];
}

ConnectionEnd end_of(Connection::End end) {
  if (end == Connection::End::kRefused) return ConnectionEnd::kRefused;
  return end == Connection::End::kReset ? ConnectionEnd::kReset : ConnectionEnd::kClosedByPeer;
}

}  // namespace firvalve::net
