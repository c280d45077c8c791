// Defines `firvalve-loadtest scale`, which measures the cost of each role by size and predicts the needs of a
// cluster of another size.
#pragma once

#include <CLI/CLI.hpp>

namespace firvalve::loadtest {

// Adds the `scale` subcommand to `app`. Running it sets `exit_code`.
void add_scale(CLI::App& app, int& exit_code);

}  // namespace firvalve::loadtest
