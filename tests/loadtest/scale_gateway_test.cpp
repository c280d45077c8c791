// Tests the gateway part of the scale run: its counts, and that it ends every process it started. No times.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>

#include "loadtest/command_load.h"
#include "loadtest/idle_clients.h"
#include "loadtest/parts.h"
#include "loadtest/process_usage.h"
#include "loadtest/real_gateway.h"
#include "loadtest/scripted_engines.h"
#include "soon.h"

namespace firvalve::loadtest {
namespace {

ScaleOptions small_run() {
  ScaleOptions options;
  options.quick = true;
  options.engines = {1, 2, 4};
  options.connections = {2, 4};
  options.rates = {20};
  options.zones = 2;
  options.seconds = 0.3;
  options.program = FIRVALVE_PROGRAM;
  return options;
}

void ignore_progress(const std::string&) {}

bool has_children() { return ::waitpid(-1, nullptr, WNOHANG) != -1 || errno != ECHILD; }

ptrdiff_t open_descriptors() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
}

// The one-line error that stopped the run; empty: the run completed.
std::string error_of(const ScaleOptions& options, const Progress& progress) {
  try {
    measure_gateway(options, progress);
  } catch (const ScaleError& error) {
    return error.what();
  }
  return {};
}

TEST(ScaleGateway, ASmallRunGivesEachSeriesAndLeavesNothing) {
  const ptrdiff_t descriptors_before = open_descriptors();
  const std::vector<Measurement> measured = measure_gateway(small_run(), ignore_progress);
  EXPECT_FALSE(has_children());
  EXPECT_EQ(open_descriptors(), descriptors_before);
  const std::vector<double> engines = {1, 2, 4};
  size_t by_engines = 0;
  for (const Measurement& m : measured) {
    std::vector<double> sizes;
    for (const Point& point : m.points) {
      sizes.push_back(point.size);
      EXPECT_GT(point.value, 0) << m.name << " by " << m.varied << " at " << point.size;
    }
    EXPECT_TRUE(std::is_sorted(sizes.begin(), sizes.end())) << m.name;
    if (m.varied != "engines") continue;
    ++by_engines;
    EXPECT_EQ(sizes, engines) << m.name;
  }
  // Start; CPU time and share, each in one zone and in two; memory, peak memory and engine connections.
  EXPECT_EQ(by_engines, 1u + 2 * 2 + 3);
}

TEST(ScaleGateway, EachCommandAtWorkHoldsOneConnectionToAnEngine) {
  const ScriptedEngines engines(4);
  const RealGateway gateway(FIRVALVE_PROGRAM, engines, {4, 1});
  EXPECT_EQ(connections_to(gateway.process(), kEngineAddresses), 0u);
  const CommandsInHand commands(gateway.address(), 3, 1);
  EXPECT_TRUE(soon([&] { return connections_to(gateway.process(), kEngineAddresses) == 3; }));
  EXPECT_EQ(commands.open(), 3u);
}

TEST(ScaleGateway, ClientsAreNotCountedAsEngines) {
  const ScriptedEngines engines(1);
  const RealGateway gateway(FIRVALVE_PROGRAM, engines, {1, 1});
  const IdleClients clients(gateway.address(), 5);
  EXPECT_EQ(clients.still_open(), 5);
  EXPECT_EQ(connections_to(gateway.process(), kEngineAddresses), 0u);
}

TEST(ScaleGateway, AProgramThatIsNotThereIsSaidInOneLine) {
  ScaleOptions options = small_run();
  options.program = "/nowhere/firvalve";
  EXPECT_EQ(error_of(options, ignore_progress), "the gateway's program /nowhere/firvalve cannot be run");
}

TEST(ScaleGateway, AProgramThatEndsAtOnceIsSaidInOneLine) {
  ScaleOptions options = small_run();
  options.program = "/bin/false";
  EXPECT_EQ(error_of(options, ignore_progress), "a gateway (/bin/false) ended by itself: exit code 1");
  EXPECT_FALSE(has_children());
}

TEST(ScaleGateway, AGatewayThatDiesDuringTheRunIsSaidInOneLine) {
  const auto kill_gateways = [](const std::string& line) {
    if (line.find("long run") == std::string::npos) return;
    std::ifstream children("/proc/self/task/" + std::to_string(::getpid()) + "/children");
    for (pid_t child = 0; children >> child;) ::kill(child, SIGKILL);
  };
  const std::string error = error_of(small_run(), kill_gateways);
  EXPECT_NE(error.find("ended by itself: by a signal"), std::string::npos) << error;
  EXPECT_EQ(error.find('\n'), std::string::npos);
  EXPECT_FALSE(has_children());
}

TEST(ScaleGateway, AnInterruptLeavesNothing) {
  const ptrdiff_t descriptors_before = open_descriptors();
  const auto interrupt = [](const std::string& line) {
    if (line.find("processor time: 4 engines") != std::string::npos) throw ScaleError("interrupted");
  };
  EXPECT_EQ(error_of(small_run(), interrupt), "interrupted");
  EXPECT_FALSE(has_children());
  EXPECT_EQ(open_descriptors(), descriptors_before);
}

// Whether the process runs. An orphan that has exited may stay a zombie if no process reaps it.
bool runs(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("State:")) return line.find("Z (zombie)") == std::string::npos;
  return false;
}

TEST(ScaleGateway, AGatewayEndsWithItsStarterThoughThatIsKilled) {
  int pipe_ends[2] = {};
  ASSERT_EQ(::pipe(pipe_ends), 0);
  const pid_t starter = ::fork();
  if (starter == 0) {
    const fakes::Process started("/bin/sleep", "", {"1000"}, "", fakes::Process::Ends::kWithItsStarter);
    const pid_t id = started.id();
    if (::write(pipe_ends[1], &id, sizeof id) == sizeof id) ::pause();
    ::_exit(1);
  }
  pid_t started = 0;
  ASSERT_EQ(::read(pipe_ends[0], &started, sizeof started), ssize_t{sizeof started});
  EXPECT_TRUE(runs(started));
  ::kill(starter, SIGKILL);
  ::waitpid(starter, nullptr, 0);
  EXPECT_TRUE(soon([&] { return !runs(started); }));
  ::close(pipe_ends[0]);
  ::close(pipe_ends[1]);
}

TEST(ScaleGateway, MoreDescriptorsThanThereAreIsSaidInOneLine) {
  ScaleOptions options = small_run();
  options.connections = {1 << 30};
  const std::string error = error_of(options, ignore_progress);
  EXPECT_NE(error.find("descriptors are needed"), std::string::npos) << error;
  EXPECT_EQ(error.find('\n'), std::string::npos);
}

}  // namespace
}  // namespace firvalve::loadtest
