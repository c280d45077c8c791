// Interface for client requests that concern the whole cluster of gateways rather than one engine: run-once
// jobs and topic changes. The client server forwards them. Implemented by cluster::ClusterService.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "core/command_request.h"
#include "core/ids.h"

namespace firvalve {

// Not thread-safe: called only from the reactor's thread.
class ClusterRequests {
 public:
  virtual ~ClusterRequests() = default;

  // Runs a command once in the whole cluster, with `job_name` as the idempotency key. The call gets its
  // final response through the ResponseSink, like that of any other command.
  virtual void run_once_job(TimePoint now, CallId call, std::string_view job_name,
                            CommandRequest&& request) = 0;
  // The call's client no longer waits. Calls that do not belong to a run-once job are ignored.
  virtual void client_gone(TimePoint now, CallId call) = 0;

  struct Reply {
    enum class Kind : uint8_t { kDone, kRejected, kInvalidParams, kNoQuorum, kOutcomeUnknown };
    Kind kind = Kind::kOutcomeUnknown;
    // JSON of the result (kDone) or of the compatibility violations (kRejected); the reason (kInvalidParams).
    std::string text;
  };
  using ReplyCallback = std::function<void(const Reply&)>;
  // Reads or changes a topic's versions or declarations. `method` and `params` are passed through from the
  // client. Calls the callback once, after this function has returned, unless the process ends first.
  virtual void handle_topic_request(TimePoint now, std::string_view method, std::string_view topic,
                                    const std::string& params, Duration timeout, ReplyCallback callback) = 0;
};

constexpr size_t kMaxClusterNameBytes = 128;  // of the name of a run-once job or a topic

}  // namespace firvalve
