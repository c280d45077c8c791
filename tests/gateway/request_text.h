// Builds requests and configurations, and searches answers, for tests that talk to the program.
#pragma once

#include <cstdio>
#include <string>

#include "proto/base64.h"

namespace firvalve {

// Returns the JSON body of a request for a command. `req` is derived from `id`; `extra_params` is inserted as
// it is.
inline std::string command_request(int id, const std::string& statement, int timeout_ms = 4000,
                                   const char* profile = "lookup", const std::string& extra_params = {}) {
  std::string bytes;
  proto::append_base64(bytes, statement);
  char req[17];
  std::snprintf(req, sizeof req, "%016x", id);
  return R"({"jsonrpc":"2.0","id":)" + std::to_string(id) + R"(,"method":")" + profile +
         R"(","params":{"req":")" + req + R"(",)" + extra_params + R"("timeout":)" +
         std::to_string(timeout_ms) + R"(,"ms":100,"mem":10,"bytes":")" + bytes + R"("}})";
}

inline bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Returns the configuration with the first occurrence of `from` replaced; unchanged if there is none.
inline std::string replace_first(std::string config, const std::string& from, const std::string& to) {
  const size_t at = config.find(from);
  return at == std::string::npos ? config : config.replace(at, from.size(), to);
}

}  // namespace firvalve
