#include "gateway/memory_shares.h"

#include <algorithm>

namespace firvalve {

namespace {

// Shares of what is left.
constexpr double kBufferShare = 0.4, kCommandShare = 0.2, kRegisterShare = 0.1, kClusterRequestShare = 0.1;
constexpr double kMinDividedShare = 0.5;  // of the limit

}  // namespace

MemoryShares divide_memory(double limit_bytes, const FixedMemory& fixed) {
  const double left = std::max(limit_bytes - fixed.program_bytes - fixed.result_store_bytes,
                               kMinDividedShare * (limit_bytes - fixed.result_store_bytes));
  return {static_cast<size_t>(kBufferShare * left), static_cast<size_t>(kCommandShare * left),
          static_cast<size_t>(kRegisterShare * left), static_cast<size_t>(kClusterRequestShare * left)};
}

}  // namespace firvalve
