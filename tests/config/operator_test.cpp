#include "config/operator.h"

#include <gtest/gtest.h>

namespace firvalve::config {
namespace {

std::vector<std::string> faults(std::string_view text) {
  std::vector<std::string> all;
  for (const Fault& f : read_operator(text).faults) all.push_back(line_of("f", f));
  return all;
}

TEST(Operator, EmptyIsAllDefaults) {
  EXPECT_TRUE(read_operator("{}").good());
  EXPECT_FALSE(read_operator("{}").values.clients.marks);
}

TEST(Operator, CommentsAndTrailingCommasAreRead) {
  const Reading r = read_operator("// a file\n{ \"clients\": { \"marks\": true, /* on */ }, }");
  EXPECT_TRUE(r.good()) << line_of("f", r.faults[0]);
  EXPECT_TRUE(r.values.clients.marks);
}

TEST(Operator, AMisspeltFieldIsToldWithItsLineAndTheNearest) {
  EXPECT_EQ(faults("{\n\"clients\": {\n\"mark\": true}}"),
            std::vector<std::string>{"f:3: clients.mark: no such field; the nearest is clients.marks"});
  EXPECT_EQ(faults("{\"zzzzzzzzzzzzzz\": 1}"),
            std::vector<std::string>{"f:1: zzzzzzzzzzzzzz: no such field"});
}

TEST(Operator, AllFaultsAreToldAtOnce) {
  EXPECT_EQ(faults("{\"clients\": {\"marks\": 1, \"marks\": false, \"x\": [1, {\"y\": 2}]}}").size(), 3u);
}

TEST(Operator, WhatIsNoObjectOrIsCutAnywhereIsRefused) {
  EXPECT_FALSE(read_operator("").good());
  EXPECT_FALSE(read_operator("7").good());
  EXPECT_FALSE(read_operator("[]").good());
  EXPECT_FALSE(read_operator("{\"clients\": 7}").good());
  EXPECT_FALSE(read_operator("{\"clients\": {\"marks\": {}}}").good());
  const std::string whole = "{ \"clients\": { \"marks\": true } }";
  for (size_t n = 0; n < whole.size(); ++n) EXPECT_FALSE(read_operator(whole.substr(0, n)).good()) << n;
  EXPECT_FALSE(read_operator_file("/nowhere").good());
}

TEST(Operator, TheFileThatShipsIsGoodAndAllDefaults) {
  const Reading r = read_operator_file(FIRVALVE_OPERATOR_FILE);
  ASSERT_TRUE(r.good()) << line_of("f", r.faults[0]);
  EXPECT_EQ(described(r.values), described(Operator{}));
}

}  // namespace
}  // namespace firvalve::config
