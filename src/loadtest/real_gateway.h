// Runs one process of the gateway program for a measurement; the process ends with this object.
#pragma once

#include <memory>
#include <string>

#include "fakes/process.h"
#include "loadtest/scripted_engines.h"

namespace firvalve::loadtest {

// The default gateway program: `firvalve` in the directory of the running program.
std::string default_gateway_program();

// A running gateway process.
class RealGateway {
 public:
  // Returns once the gateway answers a heartbeat as healthy. Throws ScaleError if the program cannot be run,
  // exits, or is not ready in time.
  RealGateway(const std::string& program, const ScriptedEngines& engines, ScriptedEngines::View view);

  const std::string& address() const { return address_; }
  pid_t process() const { return process_->id(); }
  double start_to_ready_ms() const { return start_to_ready_ms_; }
  void check_running();  // throws ScaleError if the process has exited

 private:
  void wait_until_ready();

  std::string program_, address_;
  std::unique_ptr<fakes::Process> process_;
  double start_to_ready_ms_ = 0;
};

}  // namespace firvalve::loadtest
