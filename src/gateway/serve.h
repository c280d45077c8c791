// The gateway process from its configuration to its exit.
#pragma once

#include <string>

namespace firvalve {

// Serves what the file named by NODE_CONFIG says until SIGTERM or SIGINT, with the features that the
// operator's own file switches on (empty: none). Returns the exit code. Throws ConfigError where a file
// cannot be used, and std::exception where an address cannot be listened on. Blocks the calling thread, which
// handles all signals.
int serve(const std::string& operator_file);

}  // namespace firvalve
