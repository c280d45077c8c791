#include "loadtest/real_gateway.h"

#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <thread>

#include "client/client.h"
#include "fakes/fake_deployment.h"
#include "loadtest/parts.h"

namespace firvalve::loadtest {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kReadyWithin{10};
constexpr std::chrono::milliseconds kBetweenLooks{1};
constexpr double kHeartbeatTimeoutMs = 200;

}  // namespace

std::string default_gateway_program() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path() / "firvalve";
}

RealGateway::RealGateway(const std::string& program, const ScriptedEngines& engines,
                         ScriptedEngines::View view)
    : program_(program), address_(fakes::free_address()) {
  if (::access(program.c_str(), X_OK) != 0)
    throw ScaleError(fmt::format("the gateway's program {} cannot be run", program));
  const std::string config = engines.gateway_config(address_, view);
  const auto started = Clock::now();
  process_ = std::make_unique<fakes::Process>(program, config, std::vector<std::string>{}, "/dev/null",
                                              fakes::Process::Ends::kWithItsStarter);
  wait_until_ready();
  start_to_ready_ms_ = std::chrono::duration<double, std::milli>(Clock::now() - started).count();
}

void RealGateway::wait_until_ready() {
  const auto latest = Clock::now() + kReadyWithin;
  while (!client::ping(address_, kHeartbeatTimeoutMs).healthy) {
    check_running();
    if (Clock::now() >= latest)
      throw ScaleError(fmt::format("a gateway was not ready within {} s", kReadyWithin.count()));
    std::this_thread::sleep_for(kBetweenLooks);
  }
}

void RealGateway::check_running() {
  if (process_->running()) return;
  throw ScaleError(fmt::format("a gateway ({}) ended by itself: {}", program_, [&] {
    const int code = process_->wait();
    return code < 0 ? std::string("by a signal") : fmt::format("exit code {}", code);
  }()));
}

}  // namespace firvalve::loadtest
