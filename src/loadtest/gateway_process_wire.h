// The protocol between the scale run and its child processes: one JSON object per line.
#pragma once

#include <string>
#include <vector>

#include "loadtest/gateway_process.h"

namespace firvalve::loadtest {

// A request of the scale run to a child process.
struct GatewayProcessCommand {
  enum class Kind : uint8_t { kReport, kKillGateways, kStartGateways, kEndGateways, kAnnounce };
  Kind kind = Kind::kReport;
  std::vector<size_t> gateways;  // for kKillGateways, kStartGateways, kEndGateways: indices into options
  std::string listings;          // for kAnnounce
  bool whole = false;            // for kAnnounce: `listings` is a complete list, not a difference
};

// The read_ functions throw ScaleError on a line that cannot be parsed.
std::string to_line(const GatewayProcessOptions& options);
GatewayProcessOptions read_options(const std::string& line);
std::string to_line(const GatewayProcessCommand& command);
GatewayProcessCommand read_command(const std::string& line);
std::string to_line(const GatewayProcessReport& report);
std::string error_line(const std::string& why);
GatewayProcessReport read_report_line(const std::string& line);  // also throws the message of an error_line()

}  // namespace firvalve::loadtest
