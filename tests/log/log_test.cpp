#include "log/log.h"

#include <gtest/gtest.h>

namespace firvalve::log {
namespace {

TEST(Line, LogfmtQuotesWhatNeedsIt) {
  EXPECT_EQ(line_of(Form::kLogfmt, 1764612629123, Level::kWarning, "engine doubted",
                    {{"engine", "s-0a"}, {"why", "failing or slow"}, {"odd", "a=\"b\"\n"}, {"none", ""}}),
            "time=2025-12-01T18:10:29.123Z level=warning event=\"engine doubted\" engine=s-0a "
            "why=\"failing or slow\" odd=\"a=\\\"b\\\"\\n\" none=\"\"");
}

TEST(Line, JsonIsOneObject) {
  EXPECT_EQ(line_of(Form::kJson, 1764612629000, Level::kInfo, "serving", {{"a", "x\"y"}}),
            R"({"time":"2025-12-01T18:10:29.000Z","level":"info","event":"serving","a":"x\"y"})");
}

TEST(Bursts, TheSameLineIsWrittenOnceAndCounted) {
  Bursts bursts(1000);
  EXPECT_TRUE(bursts.handle(0, "a"));
  for (int i = 0; i < 5; ++i) EXPECT_FALSE(bursts.handle(10, "a"));
  EXPECT_TRUE(bursts.handle(20, "b"));
  EXPECT_TRUE(bursts.over(500).empty());
  EXPECT_EQ(bursts.next_due(), 1000);
  const auto over = bursts.over(1000);
  ASSERT_EQ(over.size(), 1u);
  EXPECT_EQ(over[0], std::pair(std::string("a"), uint64_t{5}));
  EXPECT_TRUE(bursts.handle(1001, "a"));
}

TEST(Bursts, ManyKindsOfLinesAreBounded) {
  Bursts bursts(1000);
  for (int i = 0; i < 10000; ++i) EXPECT_TRUE(bursts.handle(0, std::to_string(i)));
  bursts.over(1000);
  EXPECT_EQ(bursts.next_due(), 0);
}

}  // namespace
}  // namespace firvalve::log
