// What a handle, the driver and the callback thread know of one call.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "base/time.h"
#include "client/client.h"
#include "client/scheduler_actions.h"

namespace firvalve::client {

class Driver;

// Asks one gateway for a page of a stored result.
struct PageRequest {
  GatewayIndex gateway = 0;
  std::string token;
  uint64_t page = 0;  // from 1; 0: releases the result
};

// Asks about a topic. The parameters are a JSON object.
struct TopicRequest {
  std::string method, params;
};

struct CallState {
  // Set before the call is submitted, and constant from then on.
  Command command;
  std::variant<std::monostate, PageRequest, TopicRequest> request;  // monostate: the command itself
  CallId id{};                                                      // set by the driver, with the next two
  TimePoint submitted_at;
  std::weak_ptr<Driver> driver;

  Callback callback;  // the callback thread's, once the call has ended

  mutable std::mutex mutex;  // guards what follows
  mutable std::condition_variable ended;
  bool has_ended = false;
  Result result;  // the driver's until the call has ended, constant from then on
};
using CallStatePtr = std::shared_ptr<CallState>;

// Hands the result to everybody who waits for it.
void end_call_state(CallState& call, Result result);

}  // namespace firvalve::client
