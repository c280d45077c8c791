// firvalve: without a sub-command one gateway, told by NODE_CONFIG what to serve.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "gateway/serve.h"

int main(int argc, char** argv) {
  CLI::App app("An admission controller for queries on pooled engines.", "firvalve");
  app.set_version_flag("--version", FIRVALVE_VERSION);
  app.footer("Without a sub-command: the gateway told by the file that NODE_CONFIG names.");
  CLI11_PARSE(app, argc, argv);
  try {
    return firvalve::serve();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "firvalve: %s\n", e.what());
    return 1;
  }
}
