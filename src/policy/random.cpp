#include "policy/random.h"

namespace firvalve {

uint32_t Pcg32::next() {
  const uint64_t old = state;
  state = old * 6364136223846793005ULL + 1442695040888963407ULL;
  const uint32_t shifted = static_cast<uint32_t>(((old >> 18) ^ old) >> 27);
  const uint32_t turn = static_cast<uint32_t>(old >> 59);
  return (shifted >> turn) | (shifted << ((32 - turn) & 31));
}

}  // namespace firvalve
