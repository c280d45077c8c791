// Receiver of the final responses to clients' calls. Implemented by the client server, and by the cluster
// service if the gateway belongs to a cluster.
#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"
#include "core/ids.h"
#include "core/result_store.h"

namespace firvalve {

// Each admitted call gets exactly one response, unless its client disconnects or revokes the call first. The
// views are valid only during the function call.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void answer(CallId call, std::string_view rows) = 0;
  virtual void answer_paged(CallId call, ResultHandle result) = 0;  // the rows are in the result store
  virtual void shed(CallId call, std::optional<Duration> retry_after) = 0;
  virtual void fail(CallId call, std::string_view reason) = 0;
};

}  // namespace firvalve
