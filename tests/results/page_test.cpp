// Tests the compression of a page and the detection of corrupt pages.
#include "results/page.h"

#include <gtest/gtest.h>

namespace firvalve::results {
namespace {

TEST(Page, DecompressionRestoresTheRowsAndDetectsAFlippedBit) {
  const std::string rows = std::string(5000, 'a') + "\tb\tc\n";
  StoredPage page = compress(rows);
  EXPECT_LT(page.bytes.size(), 200u);
  EXPECT_EQ(decompress(page), rows);
  for (size_t i = 0; i < page.bytes.size(); ++i) {
    StoredPage flipped = page;
    flipped.bytes[i] = static_cast<char>(flipped.bytes[i] ^ 1);
    EXPECT_FALSE(decompress(flipped)) << i;
  }
  EXPECT_EQ(decompress(compress("")), "");
  EXPECT_EQ(decompress(compress("x")), "x");
}

}  // namespace
}  // namespace firvalve::results
