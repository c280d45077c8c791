// The policy's random number generator (PCG-XSH-RR 32). Its draws are part of the decisions: the same seed
// and events give the same actions.
#pragma once

#include <cstdint>

namespace firvalve {

struct Pcg32 {
  uint64_t state = 0;
  uint32_t next();
};

}  // namespace firvalve
