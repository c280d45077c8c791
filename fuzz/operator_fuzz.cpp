// Any bytes as an operator's file: read or refused, each fault with a text, and what is good reads the same
// again.
#include <cstdlib>
#include <string_view>

#include "config/operator_config.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const firvalve::config::Reading reading = firvalve::config::read_operator(text);
  for (const auto& fault : reading.faults)
    if (fault.text.empty() || fault.line < 1) std::abort();
  if (reading.good() && firvalve::config::described(reading.values).empty()) std::abort();
  return 0;
}
