// A command as requested by a client.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace firvalve {

// The views must be valid only during the function call that receives the request.
struct CommandRequest {
  std::string_view command, profile;  // the command's id, 16 characters, and its profile's name
  std::string statement;
  int64_t table_group = -1;                // negative: none
  Duration timeout{};                      // until the client stops waiting
  std::optional<Duration> estimated_work;  // total over all threads
  double memory_mb = 0;                    // estimated; 0: not estimated
  bool paged = false;                      // the client reads the result page by page
  std::string_view owner = {};             // whose result store quota a paged result counts against
  std::string_view result_key = {};        // key required to read a paged result; empty: no key
  std::string_view retry_of = {};          // id of the first command of the retry chain; empty: not a retry
};

}  // namespace firvalve
