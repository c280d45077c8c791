// Decides which connection gives up its buffers first when all connections together exceed the limit on
// buffered bytes. No I/O.
//
// A request that has arrived whole must be answered, so what is given up first is what nobody is owed yet: an
// incomplete message of a client that holds more than its fair share. After these, whoever holds most. A
// client that holds little, such as one that writes a request slowly, is reached last.
#pragma once

#include <compare>
#include <cstddef>

namespace firvalve::net {

struct BufferUse {
  size_t bytes = 0;
  bool has_incomplete_message = false;
};

// The connection with the highest priority is the first.
struct ReclaimPriority {
  bool is_oversized_incomplete_message = false;
  size_t bytes = 0;
  auto operator<=>(const ReclaimPriority&) const = default;
};

// fair_share: the limit divided by the number of clients.
inline ReclaimPriority reclaim_priority(const BufferUse& use, size_t fair_share) {
  return {use.has_incomplete_message && use.bytes > fair_share, use.bytes};
}

}  // namespace firvalve::net
