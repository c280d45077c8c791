// Line formats and the suppression of repeated lines.
#include "log/log.h"

#include <gtest/gtest.h>

namespace firvalve::log {
namespace {

TEST(Line, LogfmtQuotesValuesWithSpecialCharacters) {
  EXPECT_EQ(format_line(Form::kLogfmt, 1764612629123, Level::kWarning, "engine ejected",
                        {{"engine", "s-0a"}, {"why", "failing or slow"}, {"odd", "a=\"b\"\n"}, {"none", ""}}),
            "time=2025-12-01T18:10:29.123Z level=warning event=\"engine ejected\" engine=s-0a "
            "why=\"failing or slow\" odd=\"a=\\\"b\\\"\\n\" none=\"\"");
}

TEST(Line, JsonIsOneObject) {
  EXPECT_EQ(format_line(Form::kJson, 1764612629000, Level::kInfo, "serving", {{"a", "x\"y"}}),
            R"({"time":"2025-12-01T18:10:29.000Z","level":"info","event":"serving","a":"x\"y"})");
}

constexpr TimePoint at(Ms ms) { return time_point_of(ms); }

TEST(RepeatSuppressor, RepeatedLineIsWrittenOnceAndCounted) {
  RepeatSuppressor repeats(Duration(1000));
  EXPECT_TRUE(repeats.admit(at(0), "a"));
  for (int i = 0; i < 5; ++i) EXPECT_FALSE(repeats.admit(at(10), "a"));
  EXPECT_TRUE(repeats.admit(at(20), "b"));
  EXPECT_TRUE(repeats.expire(at(500)).empty());
  EXPECT_EQ(repeats.next_expiry(), at(1000));
  const auto expired = repeats.expire(at(1000));
  ASSERT_EQ(expired.size(), 1u);
  EXPECT_EQ(expired[0], (RepeatSuppressor::Suppressed{"a", 5}));
  EXPECT_TRUE(repeats.admit(at(1001), "a"));
}

TEST(RepeatSuppressor, MemoryIsBoundedForManyDistinctLines) {
  RepeatSuppressor repeats(Duration(1000));
  for (int i = 0; i < 10000; ++i) EXPECT_TRUE(repeats.admit(at(0), std::to_string(i)));
  repeats.expire(at(1000));
  EXPECT_EQ(repeats.next_expiry(), std::nullopt);
}

}  // namespace
}  // namespace firvalve::log
