// Runs the series of the control part of the scale run, with progress reports and the collected points.
#include <fmt/format.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "loadtest/control_series.h"

namespace firvalve::loadtest {
namespace {

constexpr Ms kTellEvery = 2000;  // between progress reports of one point
constexpr Ms kSleepMost = 250;   // longest single sleep, so that progress and interrupts are not delayed

bool wants(const std::vector<std::string>& chosen, const std::string& name) {
  return chosen.empty() || std::find(chosen.begin(), chosen.end(), name) != chosen.end();
}

std::string today() {
  const time_t now = ::time(nullptr);
  tm parts{};
  ::gmtime_r(&now, &parts);
  return fmt::format("{:04}-{:02}-{:02}", parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday);
}

std::string this_machine() {
  constexpr double kGigabyte = 1024.0 * 1024 * 1024;
  const double memory = static_cast<double>(::sysconf(_SC_PHYS_PAGES)) *
                        static_cast<double>(::sysconf(_SC_PAGESIZE)) / kGigabyte;
  return fmt::format("{} cores, {:.0f} GB", ::sysconf(_SC_NPROCESSORS_ONLN), memory);
}

std::string sizes_text(const char* name, const std::vector<int>& sizes) {
  std::string text;
  for (const int size : sizes) text += fmt::format(" {}", size);
  return sizes.empty() ? text : fmt::format(" {}{}", name, text);
}

// Returns the command line that repeats the measurement.
std::string command_of(const ScaleOptions& options) {
  std::string text = "firvalve-loadtest scale --part control";
  text += sizes_text("--gateways", options.gateways) + sizes_text("--engines", options.engines);
  text += fmt::format(" --keepers {} --duties {} --seconds {} --seed {}", options.keepers, options.leases,
                      options.seconds, options.seed);
  return options.quick ? text + " --quick" : text;
}

Measurement common_part(const ScaleOptions& options, std::string varied,
                        std::map<std::string, double> fixed) {
  Measurement common;
  common.varied = std::move(varied);
  common.fixed = std::move(fixed);
  common.command = command_of(options);
  common.date = today();
  common.machine = this_machine();
  common.seed = options.seed;
  return common;
}

}  // namespace

std::vector<int> sizes_of(const std::vector<int>& asked, bool quick, const std::vector<int>& full,
                          const std::vector<int>& small) {
  std::vector<int> sizes = !asked.empty() ? asked : quick ? small : full;
  std::sort(sizes.begin(), sizes.end());
  sizes.erase(std::unique(sizes.begin(), sizes.end()), sizes.end());
  return sizes;
}

Watch::Watch(const Progress& progress, std::string point) : progress_(progress), point_(std::move(point)) {
  progress_(point_);
  began_ = told_at_ = read_report_clock();
}

void Watch::look() {
  const Ms now = read_report_clock();
  if (now < told_at_ + kTellEvery) return;
  told_at_ = now;
  progress_(fmt::format("{}, {:.0f} s", point_, (now - began_) / 1000));
}

void Watch::sleep(Ms span) {
  const Ms until = read_report_clock() + span;
  for (Ms now = read_report_clock(); now < until; now = read_report_clock()) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(std::min(kSleepMost, until - now)));
    look();
  }
}

Series::Series(const ScaleOptions& options, std::string varied, std::map<std::string, double> fixed)
    : common_(common_part(options, std::move(varied), std::move(fixed))) {}

void Series::add(const std::string& name, const std::string& unit, double size, double value) {
  auto at = std::find_if(measurements_.begin(), measurements_.end(),
                         [&](const Measurement& measurement) { return measurement.name == name; });
  if (at == measurements_.end()) {
    at = measurements_.insert(at, common_);
    at->name = name;
    at->unit = unit;
  }
  at->points.push_back({size, value});
}

std::vector<Measurement> measure_control(const ScaleOptions& options, const Progress& progress) {
  std::vector<Measurement> all;
  const auto add = [&all](std::vector<Measurement> more) {
    for (Measurement& one : more) all.push_back(std::move(one));
  };
  add(measure_rest(options, progress));
  if (wants(options.changes, "list")) add(measure_list_changes(options, progress));
  if (wants(options.changes, "configuration")) add(measure_configuration_changes(options, progress));
  add(measure_cold_start(options, progress));
  return all;
}

}  // namespace firvalve::loadtest
