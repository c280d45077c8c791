// One step of PCG-XSH-RR 32: a linear congruential state, permuted by an xorshift and a random rotation.
#include "policy/random.h"

namespace firvalve {

uint32_t Pcg32::next() {
  const uint64_t previous = state;
  state = previous * 6364136223846793005ULL + 1442695040888963407ULL;
  const uint32_t shifted = static_cast<uint32_t>(((previous >> 18) ^ previous) >> 27);
  const uint32_t rotation = static_cast<uint32_t>(previous >> 59);
  return (shifted >> rotation) | (shifted << ((32 - rotation) & 31));
}

}  // namespace firvalve
