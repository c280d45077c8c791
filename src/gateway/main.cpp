// The program `firvalve`. Without a sub-command it runs a gateway, configured by the file that NODE_CONFIG
// names. `call` and `ping` are clients of gateways; `check` validates an operator's file.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "config/operator_config.h"
#include "gateway/call.h"
#include "gateway/call_report.h"
#include "gateway/serve.h"

namespace {

int check_operator_file(const std::string& file) {
  const firvalve::config::ParsedConfig parsed = firvalve::config::load_operator_config(file);
  for (const auto& diagnostic : parsed.diagnostics)
    std::fprintf(stderr, "%s\n", firvalve::config::format_diagnostic(file, diagnostic).c_str());
  if (!parsed.is_valid()) return 1;
  std::fputs(firvalve::config::describe(parsed.values).c_str(), stdout);
  return 0;
}

}  // namespace

// An exception while the command line is being defined is a bug in the program and ends in std::terminate().
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  CLI::App app("An admission controller for queries on pooled engines.", "firvalve");
  int exit_code = 0;
  std::string operator_file, checked_file;
  app.set_version_flag("--version", FIRVALVE_VERSION);
  app.add_option("--operator", operator_file, "the operator's file, which enables features");
  app.footer(
      "Without a sub-command, runs a gateway configured by the file that the environment variable "
      "NODE_CONFIG names.");
  app.require_subcommand(0, 1);
  firvalve::add_call_command(app, exit_code);
  firvalve::add_ping_command(app, exit_code);
  CLI::App* const check = app.add_subcommand("check", "Validates an operator's file and prints its settings");
  check->add_option("file", checked_file)->required();
  check->callback([&] { exit_code = check_operator_file(checked_file); });
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : firvalve::kExitUsage;
  }
  if (!app.get_subcommands().empty()) return exit_code;
  try {
    return firvalve::serve(operator_file);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "firvalve: %s\n", error.what());
    return 1;
  }
}
