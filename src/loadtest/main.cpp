// Entry point of firvalve-loadtest: load generator, simulations and scale runs. Not linked into the gateway.
#include "loadtest/command.h"
#include "loadtest/load.h"
#include "simulation/run.h"

// CLI11 allocates during set-up and may throw; such an exception is meant to end the program.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  CLI::App app("Load tests and simulations of firvalve.", "firvalve-loadtest");
  int exit_code = 0;
  app.require_subcommand(1);
  app.failure_message(
      [](const CLI::App*, const CLI::Error& error) { return std::string(error.what()) + "\n"; });
  firvalve::loadtest::add_load(app, exit_code);
  firvalve::simulation::add_run(app, exit_code);
  firvalve::loadtest::add_scale(app, exit_code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  return exit_code;
}
