// Parsing of the operator's file and its diagnostics.
#include "config/operator_config.h"

#include <gtest/gtest.h>

namespace firvalve::config {
namespace {

std::vector<std::string> diagnostics(std::string_view text) {
  std::vector<std::string> all;
  for (const Diagnostic& diagnostic : parse_operator_config(text).diagnostics)
    all.push_back(format_diagnostic("f", diagnostic));
  return all;
}

TEST(OperatorConfig, EmptyObjectGivesDefaults) {
  EXPECT_TRUE(parse_operator_config("{}").is_valid());
  EXPECT_FALSE(parse_operator_config("{}").values.clients.reads_retry_markers);
}

TEST(OperatorConfig, CommentsAndTrailingCommasAreAccepted) {
  const ParsedConfig parsed =
      parse_operator_config("// a file\n{ \"clients\": { \"marks\": true, /* on */ }, }");
  EXPECT_TRUE(parsed.is_valid()) << format_diagnostic("f", parsed.diagnostics[0]);
  EXPECT_TRUE(parsed.values.clients.reads_retry_markers);
}

TEST(OperatorConfig, MisspeltFieldIsReportedWithItsLineAndASuggestion) {
  EXPECT_EQ(diagnostics("{\n\"clients\": {\n\"mark\": true}}"),
            std::vector<std::string>{"f:3: clients.mark: unknown field; did you mean clients.marks?"});
  EXPECT_EQ(diagnostics("{\"zzzzzzzzzzzzzz\": 1}"),
            std::vector<std::string>{"f:1: zzzzzzzzzzzzzz: unknown field"});
}

constexpr const char* kClusterFile =
    R"({"fleet": {"on": true, "site": "here", "listen": "127.0.0.1:7001",
"keepers": ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"], "folder": "/tmp/x", "duties": ["trial:*"]}})";

// The valid file kClusterFile with one part replaced.
std::string cluster_file_with(const std::string& from, const std::string& to) {
  std::string text = kClusterFile;
  return text.replace(text.find(from), from.size(), to);
}

TEST(OperatorConfig, ClusterSectionIsParsed) {
  const ParsedConfig parsed = parse_operator_config(kClusterFile);
  ASSERT_TRUE(parsed.is_valid()) << format_diagnostic("f", parsed.diagnostics[0]);
  EXPECT_EQ(parsed.values.cluster.acceptors.size(), 3u);
  EXPECT_EQ(parsed.values.cluster.advertised_address(), "127.0.0.1:7001");
  EXPECT_NE(describe(parsed.values).find("fleet.duties = [\"trial:*\"]"), std::string::npos);
}

TEST(OperatorConfig, EachErrorInAClusterSectionIsReportedWithItsLineAndAFix) {
  const auto only_diagnostic = [](const std::string& text) {
    const auto all = diagnostics(text);
    return all.size() == 1 ? all[0] : std::to_string(all.size()) + " diagnostics";
  };
  const auto expect_error = [&](const std::string& text, const std::string& part) {
    EXPECT_NE(only_diagnostic(text).find(part), std::string::npos) << only_diagnostic(text);
  };
  expect_error(cluster_file_with(R"(, "127.0.0.1:7003")", ""),
               "f:2: fleet.keepers: 2 are listed: expected three, five or seven");
  expect_error(cluster_file_with("127.0.0.1:7003", "127.0.0.1:7002"), "127.0.0.1:7002 is listed twice");
  expect_error(cluster_file_with(R"("listen": "127.0.0.1:7001",)", ""), "f:1: fleet.listen: is missing");
  expect_error(
      cluster_file_with(R"("folder": "/tmp/x", )", R"("reached_at": "127.0.0.1:7009", "folder": "/tmp/x", )"),
      "127.0.0.1:7009 is not one of fleet.keepers and stores nothing");
  expect_error(cluster_file_with("127.0.0.1:7003", "10.0.0.3:7003"), "off the loopback");
  expect_error(cluster_file_with("127.0.0.1:7003", "somewhere:7003"), "is not HOST:PORT");
  expect_error(cluster_file_with(R"("site": "here")", R"("site": "")"), "fleet.site: is missing");
  expect_error(cluster_file_with(R"("trial:*")", R"("trial")"),
               "is neither KIND:NAME nor KIND:* (all names of a kind)");
  expect_error(
      cluster_file_with(R"("trial:*")", R"(7)"),
      "each entry must be a string; expected a list of KIND:NAME or KIND:*: leases this gateway may hold");
  expect_error(cluster_file_with(R"("site": "here")", R"("site": "here", "lease_ms": 20)"),
               "20 is not within 500 to 60000");
  expect_error(cluster_file_with(R"("site": "here")", R"("site": ["here"])"),
               "fleet.site: expected a single value, not a list");
  EXPECT_TRUE(parse_operator_config(
                  cluster_file_with("127.0.0.1:7003\"]", "10.0.0.3:7003\"], \"trusted_network\": true"))
                  .is_valid());
  // A section that is switched off is not checked.
  EXPECT_TRUE(parse_operator_config(R"({"fleet": {"on": false, "keepers": ["x"]}})").is_valid());
}

TEST(OperatorConfig, AllErrorsAreReportedAtOnce) {
  EXPECT_EQ(diagnostics("{\"clients\": {\"marks\": 1, \"marks\": false, \"x\": [1, {\"y\": 2}]}}").size(),
            3u);
}

TEST(OperatorConfig, InputThatIsNoObjectOrIsTruncatedIsRejected) {
  EXPECT_FALSE(parse_operator_config("").is_valid());
  EXPECT_FALSE(parse_operator_config("7").is_valid());
  EXPECT_FALSE(parse_operator_config("[]").is_valid());
  EXPECT_FALSE(parse_operator_config("{\"clients\": 7}").is_valid());
  EXPECT_FALSE(parse_operator_config("{\"clients\": {\"marks\": {}}}").is_valid());
  const std::string whole = "{ \"clients\": { \"marks\": true } }";
  for (size_t n = 0; n < whole.size(); ++n)
    EXPECT_FALSE(parse_operator_config(whole.substr(0, n)).is_valid()) << n;
  EXPECT_FALSE(load_operator_config("/nowhere").is_valid());
}

TEST(OperatorConfig, DiagnosticHasACodeAPathAndALine) {
  const auto only_diagnostic = [](std::string_view text) {
    const auto all = parse_operator_config(text).diagnostics;
    return all.size() == 1 ? all[0] : Diagnostic{};
  };
  EXPECT_EQ(only_diagnostic("{\"clients\": {\n\"mark\": true}}").code, DiagnosticCode::kUnknownField);
  EXPECT_EQ(only_diagnostic("{\"clients\": {\"marks\": 1}}").code, DiagnosticCode::kWrongType);
  EXPECT_EQ(only_diagnostic("{\"log\": {\"level\": \"loud\"}}").code, DiagnosticCode::kNotAllowed);
  const Diagnostic range = only_diagnostic("{\"spool\": {\n\"results\": 1.5}}");
  EXPECT_EQ(range.code, DiagnosticCode::kOutOfRange);
  EXPECT_EQ(range.path, "spool.results");
  EXPECT_EQ(range.line, 2);
  EXPECT_EQ(load_operator_config("/nowhere").diagnostics.at(0).line, std::nullopt);
}

TEST(OperatorConfig, ShippedFileIsValidAndEqualsTheDefaults) {
  const ParsedConfig parsed = load_operator_config(FIRVALVE_OPERATOR_FILE);
  ASSERT_TRUE(parsed.is_valid()) << format_diagnostic("f", parsed.diagnostics[0]);
  EXPECT_EQ(describe(parsed.values), describe(OperatorConfig{}));
}

}  // namespace
}  // namespace firvalve::config
