// Checks of what the user passes in, before anything is sent. Each throws std::invalid_argument with a
// sentence that names what is wrong.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>

#include "client/client.h"
#include "client/request_scheduler.h"

namespace firvalve::client {

constexpr double kMaxTimeoutMs = 86'400'000;  // a day

void check(const Options& options);
void check(const Command& command);
// HOST:PORT; looks names up.
Poco::Net::SocketAddress parse_address(const std::string& address);

// Of checked options. Draws a seed if none is given.
SchedulerOptions scheduler_options(const Options& options);

}  // namespace firvalve::client
