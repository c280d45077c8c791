// Waits for what another process or thread brings about within milliseconds.
#pragma once

#include <unistd.h>

namespace firvalve {

// False after 20 s.
template <class Condition>
bool soon(Condition&& condition) {
  for (int i = 0; i < 20000 && !condition(); ++i) ::usleep(1000);
  return condition();
}

}  // namespace firvalve
