// Polls for an effect of another process or thread that is expected within milliseconds.
#pragma once

#include <unistd.h>

namespace firvalve {

// Polls the condition every millisecond until it holds; false if it does not hold within 20 s.
template <class Condition>
bool soon(Condition&& condition) {
  for (int i = 0; i < 20000; ++i) {
    if (condition())
      return true;  // evaluated once: a condition that holds briefly may be false on a second call
    ::usleep(1000);
  }
  return false;
}

}  // namespace firvalve
