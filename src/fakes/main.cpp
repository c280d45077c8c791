// firvalve_fake_deployment: runs fake engines and their event bus on loopback, for trying out gateways.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <fstream>
#include <string>
#include <vector>

#include "fakes/fake_deployment.h"

// The set-up of CLI11 allocates and may throw; such an exception ends the program, as intended.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  CLI::App app(
      "Fake engines and their event bus on loopback; the comment of a statement says how engines respond.");
  int engines = 4;
  std::vector<std::string> configs, listens;
  app.add_option("--engines", engines, "number of engines")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  app.add_option("--config", configs,
                 "write a gateway's configuration to this file; repeat it for several gateways")
      ->required();
  app.add_option("--listen", listens,
                 "listen address in the configuration; one per configuration, in the same order");
  CLI11_PARSE(app, argc, argv);
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  try {
    firvalve::fakes::FakeDeployment fleet(engines);
    for (size_t i = 0; i < configs.size(); ++i) {
      const std::string listen = i < listens.size() ? listens[i] : firvalve::fakes::free_address();
      std::ofstream file(configs[i] + ".new");
      file << fleet.config(listen);
      file.close();
      if (!file || std::rename((configs[i] + ".new").c_str(), configs[i].c_str()) != 0)
        throw std::runtime_error("could not write a configuration file");
      std::printf("%s\n", listen.c_str());
    }
    std::fflush(stdout);
    int number = 0;
    sigwait(&ends, &number);
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "firvalve_fake_deployment: %s\n", e.what());
    return 1;
  }
}
