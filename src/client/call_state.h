// State of one call, shared by its handles, the driver and the callback thread.
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

// A request to one gateway for a page of a stored result.
struct PageRequest {
  GatewayIndex gateway = 0;
  std::string token;
  uint64_t page = 0;  // from 1; 0: releases the result
};

// A call of a topic method. `params` is a JSON object.
struct TopicRequest {
  std::string method, params;
};

struct CallState {
  // Set before the call is submitted and constant afterwards.
  Command command;
  std::variant<std::monostate, PageRequest, TopicRequest> request;  // monostate: an ordinary command
  CallId id{};  // the driver sets this and the next two members
  TimePoint submitted_at;
  std::weak_ptr<Driver> driver;

  Callback callback;  // used only by the callback thread once the call has ended

  mutable std::mutex mutex;  // guards the members below
  mutable std::condition_variable ended;
  bool has_ended = false;
  Result result;  // owned by the driver until the call has ended, constant afterwards
};
using CallStatePtr = std::shared_ptr<CallState>;

// Stores the result and wakes all waiters.
void end_call_state(CallState& call, Result result);

}  // namespace firvalve::client
