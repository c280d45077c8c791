// The framing of JSON-RPC messages and of frames between gateways.
#pragma once

#include <string>

namespace firvalve {

// Returns the body as a message with its header.
inline std::string framed(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace firvalve
