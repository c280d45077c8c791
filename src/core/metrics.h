// Named counters of a gateway.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace firvalve {

// One thread: the reactor's.
struct Metrics {
  std::map<std::string, uint64_t, std::less<>> counts;
  // Adds one to the counter `name`, or `name` and `kind` with a space between them.
  void add(std::string_view name, std::string_view kind = {});
  std::string text() const;  // all counters, in the order of their names
};

}  // namespace firvalve
