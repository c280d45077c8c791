// Waits for what another process or thread brings about within milliseconds.
#pragma once

#include <unistd.h>

namespace firvalve {

// False after 20 s.
template <class Condition>
bool soon(Condition&& condition) {
  for (int i = 0; i < 20000; ++i) {
    if (condition()) return true;  // looked at once: what holds for a moment may be over at the next look
    ::usleep(1000);
  }
  return false;
}

}  // namespace firvalve
