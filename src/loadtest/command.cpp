// Options of `firvalve-loadtest scale`, and its modes: measure, merge, print the page, predict.
#include "loadtest/command.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>

#include "loadtest/capacity_file.h"
#include "loadtest/capacity_page.h"
#include "loadtest/fit.h"
#include "loadtest/interrupt.h"
#include "loadtest/json_lines.h"
#include "loadtest/parts.h"
#include "loadtest/progress_line.h"
#include "loadtest/quantity.h"
#include "loadtest/sizes_check.h"

namespace firvalve::loadtest {
namespace {

constexpr int kExitFailed = 1;  // a run failed, or a file could not be read or written
constexpr int kExitBadOptions = 2;
constexpr int kExitInterrupted = 130;
constexpr const char* kStandardOutput = "-";

// Options of the `scale` subcommand.
struct CommandOptions {
  ScaleOptions scale;
  bool predict = false;
  std::string capacity = "docs/capacity.json";
  std::string merge_into;         // path of the capacity file to update
  std::vector<std::string> from;  // measurement files to merge instead of measuring
  std::string page;
};

class BadOptions : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

bool is_wanted(const std::vector<std::string>& chosen, const std::string& name) {
  return chosen.empty() || std::find(chosen.begin(), chosen.end(), name) != chosen.end();
}

std::string today() {
  const std::time_t now = std::time(nullptr);
  std::tm calendar{};
  localtime_r(&now, &calendar);
  char text[16];
  std::strftime(text, sizeof text, "%Y-%m-%d", &calendar);
  return text;
}

std::string machine_text() {
  constexpr double kGigabyte = 1024.0 * 1024 * 1024;
  const double memory =
      static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGESIZE));
  return fmt::format("{} cores, {:.0f} GB", sysconf(_SC_NPROCESSORS_ONLN), memory / kGigabyte);
}

// Returns the command line of this process without output and program paths, so that it can be repeated on
// any machine.
std::string repeatable_command() {
  std::ifstream file("/proc/self/cmdline", std::ios::binary);
  std::string out = "firvalve-loadtest scale";
  std::string argument;
  for (int i = 0; std::getline(file, argument, '\0'); ++i) {
    if (i < 2) continue;  // skips the program name and "scale"
    const bool is_place = argument == "--json" || argument == "--merge-into" || argument == "--program";
    if (is_place)
      std::getline(file, argument, '\0');
    else if (!argument.starts_with("--json=") && !argument.starts_with("--merge-into=") &&
             !argument.starts_with("--program="))
      out += " " + argument;
  }
  return out;
}

void sign(std::vector<Measurement>& measurements, const ScaleOptions& options) {
  const std::string command = repeatable_command();
  const std::string machine = machine_text();
  const std::string date = today();
  for (Measurement& measurement : measurements) {
    measurement.command = command;
    measurement.machine = machine;
    measurement.date = date;
    measurement.seed = options.seed;
  }
}

std::vector<Measurement> measure(const ScaleOptions& options) {
  ProgressLine shown(stderr, options.json == kStandardOutput);
  const Progress progress = [&](const std::string& line) {
    if (is_interrupted()) throw ScaleError("interrupted");
    shown.show(line);
  };
  std::vector<Measurement> all;
  const auto add = [&](const char* part, auto measure_part) {
    if (!is_wanted(options.parts, part)) return;
    progress(part);
    for (Measurement& measurement : measure_part(options, progress)) all.push_back(std::move(measurement));
  };
  add("gateway", measure_gateway);
  add("control", measure_control);
  add("loss", measure_loss);
  sign(all, options);
  return all;
}

void print_measurements(const std::vector<Measurement>& measurements) {
  for (const Measurement& m : measurements) {
    const std::string fixed = fixed_sizes_text(m);
    fmt::print("{}, {}, by {}{}\n", m.name, m.unit, m.varied, fixed.empty() ? "" : " (" + fixed + ")");
    for (const Point& point : m.points)
      fmt::print("  {:>10} {:>14}\n", number_text(point.size), number_text(point.value));
    const auto held_out = fit_held_out(m.points);
    if (!held_out) {
      fmt::print("  too few sizes for a slope\n");
      continue;
    }
    fmt::print("  {}: {}; residual {:.1f} in 100; the largest is {:+.0f} in 100 off\n",
               form_name(held_out->fit.form), formula_text(held_out->fit), held_out->fit.residual * 100,
               held_out->miss * 100);
  }
}

std::vector<Measurement> read_measurements(const std::vector<std::string>& paths) {
  std::vector<Measurement> out;
  for (const std::string& path : paths)
    for (Measurement& measurement : read_measurements_file(path)) out.push_back(std::move(measurement));
  return out;
}

// A file that does not exist yet starts with the built-in sizes.
CapacityFile file_to_merge_into(const std::string& path) {
  if (!std::filesystem::exists(path)) return {};
  return read_capacity_file(path);
}

void deliver(const CommandOptions& options, const std::vector<Measurement>& measurements) {
  if (options.scale.json == kStandardOutput)
    std::fputs(measurements_text(measurements).c_str(), stdout);
  else
    print_measurements(measurements);
  if (!options.scale.json.empty() && options.scale.json != kStandardOutput)
    write_text_file(options.scale.json, measurements_text(measurements));
  if (options.merge_into.empty()) return;
  CapacityFile file = file_to_merge_into(options.merge_into);
  merge_measurements(file, measurements);
  write_text_file(options.merge_into, capacity_text(file));
}

int run_measurements(const CommandOptions& options, bool are_zones_given) {
  const std::string fault = size_fault(options.scale, are_zones_given);
  if (!fault.empty()) throw BadOptions(fault);
  if (options.scale.quick && !options.merge_into.empty())
    throw BadOptions("--quick gives no figures to plan with: --merge-into takes none of them");
  // Reports an invalid file before a run that takes minutes.
  if (!options.merge_into.empty()) file_to_merge_into(options.merge_into);
  const InterruptScope interrupts;
  try {
    deliver(options, measure(options.scale));
  } catch (const ScaleError&) {
    if (!is_interrupted()) throw;
    std::fputs("firvalve-loadtest scale: interrupted, nothing was written\n", stderr);
    return kExitInterrupted;
  }
  return 0;
}

int run_page(const CommandOptions& options) {
  const CapacityFile file = read_capacity_file(options.capacity);
  try {
    write_text_file(options.page, fill_page(read_text_file(options.page), file));
  } catch (const PageError& error) {
    throw CapacityFileError(options.page + ": " + error.what());
  }
  return 0;
}

// Sets `size` from an option. A prediction accepts only one size per option.
template <typename Number>
void set_size(double& size, const char* option, const std::vector<Number>& given) {
  if (given.empty()) return;
  if (given.size() > 1) throw BadOptions(fmt::format("{}: --predict takes one size", option));
  size = static_cast<double>(given.front());
}

int run_prediction(const CommandOptions& options, const CLI::App& app) {
  CapacityFile file = read_capacity_file(options.capacity);
  PlannedSize& planned = file.fleet.planned;
  set_size(planned.gateways, "--gateways", options.scale.gateways);
  set_size(planned.engines, "--engines", options.scale.engines);
  set_size(planned.client_connections, "--connections", options.scale.connections);
  set_size(planned.commands_per_second, "--rate", options.scale.rates);
  if (app.count("--regions") > 0) planned.regions = options.scale.regions;
  if (app.count("--zones") > 0) planned.zones = options.scale.zones;
  if (app.count("--keepers") > 0) file.fleet.assumed.keepers = options.scale.keepers;
  if (app.count("--duties") > 0) file.fleet.assumed.leases = options.scale.leases;
  const std::string fault = contradiction(file.fleet);
  if (!fault.empty()) throw BadOptions(fault);
  std::fputs(print_tables(file).c_str(), stdout);
  return 0;
}

int run_command(const CommandOptions& options, const CLI::App& app) {
  if (options.predict) return run_prediction(options, app);
  if (!options.from.empty()) {
    deliver(options, read_measurements(options.from));
    return 0;
  }
  if (!options.page.empty()) return run_page(options);
  return run_measurements(options, app.count("--zones") > 0);
}

int run(const CommandOptions& options, const CLI::App& app) {
  const auto fail = [](const std::exception& error, int exit_code) {
    std::fprintf(stderr, "firvalve-loadtest scale: %s\n", error.what());
    return exit_code;
  };
  try {
    return run_command(options, app);
  } catch (const BadOptions& error) {
    return fail(error, kExitBadOptions);
  } catch (const ScaleError& error) {
    return fail(error, kExitFailed);
  } catch (const CapacityFileError& error) {
    return fail(error, kExitFailed);
  }
}

void add_sizes(CLI::App& app, ScaleOptions& options) {
  app.add_option("--gateways", options.gateways, "sizes; with --predict, of the fleet");
  app.add_option("--engines", options.engines, "sizes; with --predict, of the fleet");
  app.add_option("--connections", options.connections,
                 "sizes, client connections at one gateway; with --predict, of the fleet");
  app.add_option("--rate", options.rates,
                 "sizes, commands a second at one gateway; with --predict, of the fleet");
  app.add_option("--regions", options.regions)->capture_default_str();
  app.add_option("--zones", options.zones, "over all regions")->capture_default_str();
  app.add_option("--keepers", options.keepers)->check(CLI::IsMember({3, 5, 7}))->capture_default_str();
  app.add_option("--duties", options.leases)->capture_default_str();
}

void add_measuring(CLI::App& app, ScaleOptions& options) {
  app.add_option("--part", options.parts, "gateway, control, loss; all by default")
      ->check(CLI::IsMember({"gateway", "control", "loss"}));
  app.add_option("--lose", options.losses, "holder, keeper, rack, zone, region; all by default")
      ->check(CLI::IsMember({"holder", "keeper", "rack", "zone", "region"}));
  app.add_option("--change", options.changes, "list, configuration; both by default")
      ->check(CLI::IsMember({"list", "configuration"}));
  app.add_option("--seconds", options.seconds, "that each point is measured for")->capture_default_str();
  app.add_option("--seed", options.seed)->capture_default_str();
  app.add_option("--program", options.program, "the gateway's; firvalve beside this program by default");
  app.add_flag("--quick", options.quick, "small sizes, short times: a look, no figures to plan with");
}

void add_files(CLI::App& app, CommandOptions& options) {
  app.add_option("--json", options.scale.json, "file for the measurements; -: standard output");
  app.add_option("--merge-into", options.merge_into,
                 "capacity file whose measurements are replaced by these");
  app.add_option("--from", options.from, "measures nothing and takes what --json has written");
  app.add_flag("--predict", options.predict,
               "prints the tables for a fleet of the sizes given; measures nothing");
  app.add_option("--page", options.page, "prints the tables in this page anew; measures nothing");
  app.add_option("--capacity", options.capacity, "the file that --predict and --page read")
      ->capture_default_str();
}

}  // namespace

void add_scale(CLI::App& app, int& exit_code) {
  auto options = std::make_shared<CommandOptions>();
  CLI::App* const scale_app = app.add_subcommand("scale", "Measures what each role costs by size");
  add_measuring(*scale_app, options->scale);
  add_sizes(*scale_app, options->scale);
  add_files(*scale_app, *options);
  scale_app->callback([options, scale_app, &exit_code] { exit_code = run(*options, *scale_app); });
}

}  // namespace firvalve::loadtest
