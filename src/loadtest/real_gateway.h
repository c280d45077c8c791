// One process of the gateway's program, from its start until it is measured; it ends with this object.
#pragma once

#include <memory>
#include <string>

#include "fakes/process.h"
#include "loadtest/scripted_engines.h"

namespace firvalve::loadtest {

// The gateway's program where none is named: `firvalve` beside the program that runs now.
std::string default_gateway_program();

class RealGateway {
 public:
  // Returns once a heartbeat is answered healthy. Throws ScaleError where the program can't be run, ends, or
  // isn't ready in time.
  RealGateway(const std::string& program, const ScriptedEngines& engines, ScriptedEngines::View view);

  const std::string& address() const { return address_; }
  pid_t process() const { return process_->id(); }
  double start_to_ready_ms() const { return start_to_ready_ms_; }
  void check_running();  // throws ScaleError where it has ended by itself

 private:
  void wait_until_ready();

  std::string program_, address_;
  std::unique_ptr<fakes::Process> process_;
  double start_to_ready_ms_ = 0;
};

}  // namespace firvalve::loadtest
