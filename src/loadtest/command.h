// `firvalve-loadtest scale`: what each role costs by size, and what a fleet of another size would need.
#pragma once

#include <CLI/CLI.hpp>

namespace firvalve::loadtest {

void add_scale(CLI::App& app, int& exit_code);

}  // namespace firvalve::loadtest
