#include "lab/scale/command.h"

#include <algorithm>
#include <cstdio>
#include <memory>

#include "lab/scale/parts.h"

namespace firvalve::lab {
namespace {

using scale::ScaleOptions;

bool wants(const std::vector<std::string>& chosen, const std::string& name) {
  return chosen.empty() || std::find(chosen.begin(), chosen.end(), name) != chosen.end();
}

int run(const ScaleOptions& options) {
  const auto progress = [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); };
  std::vector<scale::Measurement> all;
  const auto add = [&](const char* part, auto measure) {
    if (!wants(options.parts, part)) return;
    for (scale::Measurement& m : measure(options, progress)) all.push_back(std::move(m));
  };
  try {
    add("gateway", scale::measure_gateway);
    add("control", scale::measure_control);
    add("loss", scale::measure_loss);
  } catch (const scale::ScaleError& error) {
    std::fprintf(stderr, "firvalve-lab scale: %s\n", error.what());
    return 1;
  }
  for (const scale::Measurement& m : all)
    for (const scale::Point& p : m.points)
      std::printf("%s\t%s=%g\t%g %s\n", m.name.c_str(), m.varied.c_str(), p.size, p.value, m.unit.c_str());
  return 0;
}

}  // namespace

void add_scale(CLI::App& app, int& exit_code) {
  auto options = std::make_shared<ScaleOptions>();
  CLI::App* const scale_app = app.add_subcommand("scale", "Measures what each role costs by size");
  scale_app->add_option("--part", options->parts, "gateway, control, loss; all by default")
      ->check(CLI::IsMember({"gateway", "control", "loss"}));
  scale_app->add_option("--gateways", options->gateways, "sizes")->check(CLI::Range(1, 4096));
  scale_app->add_option("--engines", options->engines, "sizes")->check(CLI::Range(1, 4096));
  scale_app->add_option("--connections", options->connections, "sizes")->check(CLI::Range(1, 20000));
  scale_app->add_option("--rate", options->rates, "commands a second at one gateway")
      ->check(CLI::Range(0.1, 1e5));
  scale_app->add_option("--regions", options->regions)->check(CLI::Range(1, 64))->capture_default_str();
  scale_app->add_option("--zones", options->zones)->check(CLI::Range(1, 512))->capture_default_str();
  scale_app->add_option("--keepers", options->keepers)
      ->check(CLI::IsMember({3, 5, 7}))
      ->capture_default_str();
  scale_app->add_option("--duties", options->duties)->check(CLI::Range(0, 1000))->capture_default_str();
  scale_app->add_option("--lose", options->losses, "holder, keeper, rack, zone, region; all by default")
      ->check(CLI::IsMember({"holder", "keeper", "rack", "zone", "region"}));
  scale_app->add_option("--change", options->changes, "list, configuration; both by default")
      ->check(CLI::IsMember({"list", "configuration"}));
  scale_app->add_option("--seconds", options->seconds, "that each point is measured for")
      ->check(CLI::Range(0.1, 3600.0))
      ->capture_default_str();
  scale_app->add_option("--seed", options->seed)->capture_default_str();
  scale_app->add_option("--json", options->json, "file for the measurements");
  scale_app->add_flag("--quick", options->quick, "small sizes, short times: a look, no figures to plan with");
  scale_app->callback([options, &exit_code] { exit_code = run(*options); });
}

}  // namespace firvalve::lab
