// What the scale run and its child processes say to one another: a JSON object a line.
#pragma once

#include <string>
#include <vector>

#include "loadtest/gateway_process.h"

namespace firvalve::loadtest {

struct GatewayProcessCommand {
  enum class Kind : uint8_t { kReport, kKillGateways, kStartGateways, kEndGateways, kAnnounce };
  Kind kind = Kind::kReport;
  std::vector<size_t> gateways;  // of the three kinds that name some
  std::string listings;          // of kAnnounce
  bool whole = false;            // of kAnnounce: a whole list
};

// All of these throw ScaleError on a line that cannot be read.
std::string to_line(const GatewayProcessOptions& options);
GatewayProcessOptions read_options(const std::string& line);
std::string to_line(const GatewayProcessCommand& command);
GatewayProcessCommand read_command(const std::string& line);
std::string to_line(const GatewayProcessReport& report);
std::string error_line(const std::string& why);
GatewayProcessReport read_report_line(const std::string& line);  // throws what an error_line() says, too

}  // namespace firvalve::loadtest
