// Runs a gateway process from reading its configuration to its exit.
#pragma once

#include <string>

namespace firvalve {

// Runs the gateway that the file named by NODE_CONFIG describes until SIGTERM or SIGINT. The operator's file
// enables further features; an empty name enables none. Returns the exit code. Throws ConfigError if a file
// is invalid, and a std::exception if the gateway cannot listen on an address. Blocks the calling thread,
// which also handles the signals.
int serve(const std::string& operator_file);

}  // namespace firvalve
