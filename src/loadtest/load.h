// `firvalve-loadtest load`: sends commands to gateways through the client library, in an open loop at given
// rates or in a closed loop.
#pragma once

#include <CLI/CLI.hpp>

namespace firvalve::loadtest {

// Adds the subcommand to `app`. Its exit code is stored in `exit_code`.
void add_load(CLI::App& app, int& exit_code);

}  // namespace firvalve::loadtest
