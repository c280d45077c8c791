// What the tests say to the program as its clients would.
#pragma once

#include <cstdio>
#include <string>

#include "proto/base64.h"

namespace firvalve {

inline std::string command(int id, const std::string& statement, int timeout = 4000,
                           const char* profile = "lookup", const std::string& more = {}) {
  std::string bytes;
  proto::append_base64(bytes, statement);
  char req[17];
  std::snprintf(req, sizeof req, "%016x", id);
  return R"({"jsonrpc":"2.0","id":)" + std::to_string(id) + R"(,"method":")" + profile +
         R"(","params":{"req":")" + req + R"(",)" + more + R"("timeout":)" + std::to_string(timeout) +
         R"(,"ms":100,"mem":10,"bytes":")" + bytes + R"("}})";
}

inline bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A configuration with the first `from` replaced; as it was where that does not stand in it.
inline std::string with(std::string config, const std::string& from, const std::string& to) {
  const size_t at = config.find(from);
  return at == std::string::npos ? config : config.replace(at, from.size(), to);
}

}  // namespace firvalve
