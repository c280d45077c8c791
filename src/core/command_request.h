// A command as a client asked for it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace firvalve {

// The views need only last for the call that the request is passed to.
struct CommandRequest {
  std::string_view command, profile;  // the command's id, 16 characters, and its profile's name
  std::string statement;
  int64_t table_group = -1;                // below 0: none
  Duration timeout{};                      // until the client stops waiting
  std::optional<Duration> estimated_work;  // of all threads together
  double memory_mb = 0;                    // estimated; 0: not estimated
  bool paged = false;                      // the client reads the result page by page
  std::string_view owner = {};             // whose quota of the result store a paged result counts against
  std::string_view result_key = {};        // what readers of a paged result must present; empty: nothing
  std::string_view retry_of = {};          // the id of the first command of its retry chain; empty: no retry
};

}  // namespace firvalve
