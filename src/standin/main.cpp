// firvalve_standin_fleet: engines and their event bus on loopback, for a gateway to be tried with.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <fstream>

#include "standin/fleet.h"

int main(int argc, char** argv) {
  CLI::App app("Stand-in engines and event bus on loopback; what a statement does, it says itself.");
  int engines = 4;
  std::string config, listen;
  app.add_option("--engines", engines, "how many")->check(CLI::Range(1, 1000))->capture_default_str();
  app.add_option("--config", config, "write a gateway's configuration to this file")->required();
  app.add_option("--listen", listen, "the address that the configuration tells the gateway to listen on");
  CLI11_PARSE(app, argc, argv);
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  try {
    firvalve::standin::Fleet fleet(engines);
    if (listen.empty()) listen = firvalve::standin::free_address();
    std::ofstream file(config + ".new");
    file << fleet.config(listen);
    file.close();
    if (!file || std::rename((config + ".new").c_str(), config.c_str()) != 0)
      throw std::runtime_error("the configuration cannot be written");
    std::printf("%s\n", listen.c_str());
    std::fflush(stdout);
    int number = 0;
    sigwait(&ends, &number);
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "firvalve_standin_fleet: %s\n", e.what());
    return 1;
  }
}
