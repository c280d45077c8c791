// The sub-commands of the command line that are clients of gateways: `firvalve call` and `firvalve ping`.
#pragma once

#include <CLI/CLI.hpp>

namespace firvalve {

// Each adds its sub-command; the one that is chosen runs, and sets `exit_code`, when the line is parsed. Both
// arguments outlive the parsing.
void add_call_command(CLI::App& app, int& exit_code);
void add_ping_command(CLI::App& app, int& exit_code);

}  // namespace firvalve
