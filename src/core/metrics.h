// Named event counters and gauges of a gateway.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace firvalve {

// Not thread-safe: used only on the reactor's thread.
struct Metrics {
  std::map<std::string, uint64_t, std::less<>> counts;
  // Adds `count` to the counter `name`, or "`name` `kind`" if a kind is given.
  void add(std::string_view name, std::string_view kind = {}, uint64_t count = 1);
  // Sets a gauge: a value that can also fall.
  void set(std::string_view name, uint64_t value) { counts.insert_or_assign(std::string(name), value); }
  std::string text() const;  // all counters, sorted by name
};

}  // namespace firvalve
