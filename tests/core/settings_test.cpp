// Parsing of the start-up settings.
#include "core/settings.h"

#include <gtest/gtest.h>

#include "core/admission_limits.h"
#include "policy/setting_keys.h"

namespace firvalve {
namespace {

Settings parsed(const char* json) {
  rapidjson::Document document;
  document.Parse(json);
  return parse_settings(document);
}

TEST(Settings, NanosecondsBecomeMillisecondsAndFlagsBecomeNumbers) {
  const Settings settings = parsed(R"({"tick":5000000,"ceilings":{"cancel":true,"try_limit":3}})");
  EXPECT_EQ(number_setting(settings, setting::kTick), 5);
  EXPECT_EQ(number_setting(settings, setting::kMayCancel), 1);
  EXPECT_EQ(number_setting(settings, setting::kMaxAttempts), 3);
}

TEST(Settings, UnknownAbsentAndMistypedMembersAreIgnored) {
  EXPECT_TRUE(parsed(R"({"new":{"tick":1},"ceilings":7,"profiles":{},"tenants":[],"shapes":[3]})").empty());
  EXPECT_TRUE(parsed("[1,2]").empty());
}

TEST(Settings, ProfileGetsItsEntriesOfTheLists) {
  const Settings settings =
      parsed(R"({"profiles":[{"name":"a","semantics":"idempotent","azs_allowed":["x","y"]},
    {"name":"b","semantics":"once"}],"specifics":{"class_threads":[1,8],"holds_tables":[false,true]}})");
  EXPECT_EQ(names_of(settings, setting::kProfiles), (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(text_setting(settings, "profile.0.effect"), "replayable");
  EXPECT_EQ(text_setting(settings, "profile.1.effect"), "non-replayable");
  EXPECT_EQ(text_list_setting(settings, "profile.0.zone"), (std::vector<std::string>{"x", "y"}));
  EXPECT_EQ(number_setting(settings, "profile.1.threads"), 8);
  EXPECT_EQ(number_setting(settings, "profile.1.load"), 1);
}

TEST(Settings, LongestClientTimeoutIsTheMaximumOverAllProfiles) {
  EXPECT_EQ(longest_client_timeout(parsed(R"({"profiles":[{"name":"a"}]})")), std::nullopt);
  EXPECT_EQ(longest_client_timeout(
                parsed(R"({"profiles":[{"name":"a","deadline":4000000},{"name":"b","deadline":9000000}]})")),
            duration_of(9));
}

}  // namespace
}  // namespace firvalve
