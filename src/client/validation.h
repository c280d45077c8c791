// Validates the user's input before anything is sent. Each check throws std::invalid_argument with a message
// that names the invalid field and what is expected.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>

#include "client/client.h"
#include "client/request_scheduler.h"

namespace firvalve::client {

constexpr double kMaxTimeoutMs = 86'400'000;  // a day

void check(const Options& options);
void check(const Command& command);
// Parses HOST:PORT and resolves the name.
Poco::Net::SocketAddress parse_address(const std::string& address);

// Converts checked options. Draws a seed if none is given.
SchedulerOptions scheduler_options(const Options& options);

}  // namespace firvalve::client
