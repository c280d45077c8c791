// `firvalve-loadtest run`: simulates the world that the command line describes.
#pragma once

#include <CLI/CLI.hpp>

namespace firvalve::simulation {

void add_run(CLI::App& app, int& exit_code);

}  // namespace firvalve::simulation
