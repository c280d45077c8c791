// Tests result tokens.
#include "results/result_token.h"

#include <gtest/gtest.h>

namespace firvalve::results {
namespace {

TEST(ResultToken, HexRoundTripsAndInvalidTextIsRejected) {
  const ResultToken token = generate_token();
  EXPECT_TRUE(equal_in_constant_time(*parse_token(to_hex(token)), token));
  EXPECT_FALSE(equal_in_constant_time(generate_token(), token));
  for (const char* text : {"", "00", "zz000000000000000000000000000000", "000000000000000000000000000000000"})
    EXPECT_FALSE(parse_token(text)) << text;
}

}  // namespace
}  // namespace firvalve::results
