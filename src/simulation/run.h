// `firvalve-loadtest run`: a world in virtual time, told on the line.
#pragma once

#include <CLI/CLI.hpp>

namespace firvalve::simulation {

void add_run(CLI::App& app, int& exit_code);

}  // namespace firvalve::simulation
