// Whether the tests and the programs that they run are built with the sanitizers.
#pragma once

namespace firvalve {

// A sanitizer's own memory, which grows with every allocation, counts as the process's.
#ifdef FIRVALVE_SANITIZE
constexpr bool kIsSanitized = true;
#else
constexpr bool kIsSanitized = false;
#endif

}  // namespace firvalve
