// The division of the memory limit.
#include "gateway/memory_shares.h"

#include <gtest/gtest.h>

namespace firvalve {
namespace {

constexpr double kMegabyte = 1024 * 1024;

// Guards against shares of the whole limit, which together with the program and the result store exceed it.
TEST(MemoryShares, TogetherWithWhatIsFixedStayWithinTheLimit) {
  for (const double limit_mb : {16.0, 32.0, 64.0, 192.0, 2048.0})
    for (const double store_share : {0.0, 0.25, 0.5}) {
      const double limit = limit_mb * kMegabyte;
      const FixedMemory fixed{9 * kMegabyte, store_share * limit};
      if (fixed.program_bytes + fixed.result_store_bytes > 0.75 * limit) continue;
      const MemoryShares shares = divide_memory(limit, fixed);
      const auto divided = static_cast<double>(shares.buffer_bytes + shares.command_bytes +
                                               shares.register_bytes + shares.cluster_request_bytes);
      EXPECT_LE(divided + fixed.program_bytes + fixed.result_store_bytes, limit) << limit_mb;
      EXPECT_GT(shares.command_bytes, 0u);
    }
}

// A limit that the program itself exceeds still leaves something for clients.
TEST(MemoryShares, HalfOfTheLimitIsDividedAtLeast) {
  const MemoryShares shares = divide_memory(4 * kMegabyte, {9 * kMegabyte, 0});
  EXPECT_EQ(shares.buffer_bytes, static_cast<size_t>(0.8 * kMegabyte));
}

}  // namespace
}  // namespace firvalve
