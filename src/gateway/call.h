// The command line's clients of a gateway: `firvalve call` and `firvalve ping`.
#pragma once

#include <CLI/CLI.hpp>

namespace firvalve {

// The exit codes of `firvalve call`.
constexpr int kExitAnswered = 0, kExitUsage = 2, kExitRefused = 3, kExitFailed = 4, kExitUnknown = 5;

// Adds the sub-commands; the one that is chosen sets `exit_code` when the line is parsed.
void add_call(CLI::App& app, int& exit_code);
void add_ping(CLI::App& app, int& exit_code);

}  // namespace firvalve
