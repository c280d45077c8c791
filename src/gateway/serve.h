// The gateway itself, from its configuration to its end.
#pragma once

#include <string>

namespace firvalve {

// Serves until SIGTERM what NODE_CONFIG's file tells, with the features that the operator's own file switches
// on (empty: none). Gives the exit code; throws std::exception where the files are of no use or the address
// cannot be listened on.
int serve(const std::string& operator_file);

}  // namespace firvalve
