// `firvalve-loadtest load`: asks gateways at stated rates, open or closed loop, through the client library.
#pragma once

#include <CLI/CLI.hpp>

namespace firvalve::loadtest {

void add_load(CLI::App& app, int& exit_code);

}  // namespace firvalve::loadtest
