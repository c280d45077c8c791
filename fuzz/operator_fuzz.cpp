// Fuzzes the parser of the operator file: every diagnostic has a message and a line, and a valid file can be
// described.
#include <cstdlib>
#include <string_view>

#include "config/operator_config.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const firvalve::config::ParsedConfig parsed = firvalve::config::parse_operator_config(text);
  for (const auto& diagnostic : parsed.diagnostics)
    if (diagnostic.message.empty() || diagnostic.line.value_or(0) < 1) std::abort();
  if (parsed.is_valid() && firvalve::config::describe(parsed.values).empty()) std::abort();
  return 0;
}
