// The gateway itself, from its configuration to its end.
#pragma once

namespace firvalve {

// Serves until SIGTERM; what NODE_CONFIG's file tells. Gives the exit code; throws std::exception where the
// file is of no use or the address cannot be listened on.
int serve();

}  // namespace firvalve
