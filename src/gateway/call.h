// The sub-commands `firvalve call` and `firvalve ping`, which act as clients of gateways.
#pragma once

#include <CLI/CLI.hpp>

namespace firvalve {

// Each function adds its sub-command to the command line. Parsing the command line runs the selected
// sub-command, which stores its exit code in `exit_code`. Both arguments must outlive the parsing.
void add_call_command(CLI::App& app, int& exit_code);
void add_ping_command(CLI::App& app, int& exit_code);

}  // namespace firvalve
