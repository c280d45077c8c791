#include "config/operator_config.h"

#include <gtest/gtest.h>

namespace firvalve::config {
namespace {

std::vector<std::string> faults(std::string_view text) {
  std::vector<std::string> all;
  for (const Fault& f : read_operator(text).faults) all.push_back(line_of("f", f));
  return all;
}

TEST(OperatorConfig, EmptyIsAllDefaults) {
  EXPECT_TRUE(read_operator("{}").good());
  EXPECT_FALSE(read_operator("{}").values.clients.marks);
}

TEST(OperatorConfig, CommentsAndTrailingCommasAreRead) {
  const Reading r = read_operator("// a file\n{ \"clients\": { \"marks\": true, /* on */ }, }");
  EXPECT_TRUE(r.good()) << line_of("f", r.faults[0]);
  EXPECT_TRUE(r.values.clients.marks);
}

TEST(OperatorConfig, AMisspeltFieldIsToldWithItsLineAndTheNearest) {
  EXPECT_EQ(faults("{\n\"clients\": {\n\"mark\": true}}"),
            std::vector<std::string>{"f:3: clients.mark: no such field; the nearest is clients.marks"});
  EXPECT_EQ(faults("{\"zzzzzzzzzzzzzz\": 1}"),
            std::vector<std::string>{"f:1: zzzzzzzzzzzzzz: no such field"});
}

constexpr const char* kFleet =
    R"({"fleet": {"on": true, "site": "here", "listen": "127.0.0.1:7001",
"keepers": ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"], "folder": "/tmp/x", "duties": ["trial:*"]}})";

// The good file with a part of it changed.
std::string fleet_with(const std::string& from, const std::string& to) {
  std::string text = kFleet;
  return text.replace(text.find(from), from.size(), to);
}

TEST(OperatorConfig, AFleetIsReadWhole) {
  const Reading r = read_operator(kFleet);
  ASSERT_TRUE(r.good()) << line_of("f", r.faults[0]);
  EXPECT_EQ(r.values.fleet.keepers.size(), 3u);
  EXPECT_EQ(r.values.fleet.name(), "127.0.0.1:7001");
  EXPECT_NE(described(r.values).find("fleet.duties = [\"trial:*\"]"), std::string::npos);
}

TEST(OperatorConfig, EachFaultOfAFleetIsToldWithItsLineAndAWayOut) {
  const auto only = [](const std::string& text) {
    const auto all = faults(text);
    return all.size() == 1 ? all[0] : std::to_string(all.size()) + " faults";
  };
  const auto has = [&](const std::string& text, const std::string& part) {
    EXPECT_NE(only(text).find(part), std::string::npos) << only(text);
  };
  has(fleet_with(R"(, "127.0.0.1:7003")", ""), "f:2: fleet.keepers: 2 are listed: three, five or seven");
  has(fleet_with("127.0.0.1:7003", "127.0.0.1:7002"), "127.0.0.1:7002 stands there twice");
  has(fleet_with(R"("listen": "127.0.0.1:7001",)", ""), "f:1: fleet.listen: is missing");
  has(fleet_with(R"("folder": "/tmp/x", )", R"("reached_at": "127.0.0.1:7009", "folder": "/tmp/x", )"),
      "127.0.0.1:7009 is no keeper and keeps nothing");
  has(fleet_with("127.0.0.1:7003", "10.0.0.3:7003"), "off the loopback");
  has(fleet_with("127.0.0.1:7003", "somewhere:7003"), "is not HOST:PORT");
  has(fleet_with(R"("site": "here")", R"("site": "")"), "fleet.site: is missing");
  has(fleet_with(R"("trial:*")", R"("trial")"), "is no duty");
  has(fleet_with(R"("trial:*")", R"(7)"), "wants a list of duties that it is willing to hold, of strings");
  has(fleet_with(R"("site": "here")", R"("site": "here", "lease_ms": 20)"), "20 is not within 500 to 60000");
  has(fleet_with(R"("site": "here")", R"("site": ["here"])"), "fleet.site: wants no list");
  EXPECT_TRUE(
      read_operator(fleet_with("127.0.0.1:7003\"]", "10.0.0.3:7003\"], \"trusted_network\": true")).good());
  // What is off is not looked at.
  EXPECT_TRUE(read_operator(R"({"fleet": {"on": false, "keepers": ["x"]}})").good());
}

TEST(OperatorConfig, AllFaultsAreToldAtOnce) {
  EXPECT_EQ(faults("{\"clients\": {\"marks\": 1, \"marks\": false, \"x\": [1, {\"y\": 2}]}}").size(), 3u);
}

TEST(OperatorConfig, WhatIsNoObjectOrIsCutAnywhereIsRefused) {
  EXPECT_FALSE(read_operator("").good());
  EXPECT_FALSE(read_operator("7").good());
  EXPECT_FALSE(read_operator("[]").good());
  EXPECT_FALSE(read_operator("{\"clients\": 7}").good());
  EXPECT_FALSE(read_operator("{\"clients\": {\"marks\": {}}}").good());
  const std::string whole = "{ \"clients\": { \"marks\": true } }";
  for (size_t n = 0; n < whole.size(); ++n) EXPECT_FALSE(read_operator(whole.substr(0, n)).good()) << n;
  EXPECT_FALSE(read_operator_file("/nowhere").good());
}

TEST(OperatorConfig, TheFileThatShipsIsGoodAndAllDefaults) {
  const Reading r = read_operator_file(FIRVALVE_OPERATOR_FILE);
  ASSERT_TRUE(r.good()) << line_of("f", r.faults[0]);
  EXPECT_EQ(described(r.values), described(OperatorConfig{}));
}

}  // namespace
}  // namespace firvalve::config
