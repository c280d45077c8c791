// Requests of clients that concern the whole cluster of gateways rather than one engine, as the client server
// passes them on: run-once jobs and changes of topics. Implemented by cluster::ClusterService.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "core/command_request.h"
#include "core/ids.h"

namespace firvalve {

// All calls come from the reactor's thread.
class ClusterRequests {
 public:
  virtual ~ClusterRequests() = default;

  // Runs a command once over the whole cluster under the idempotency key `job_name`. The call gets its final
  // response through the ResponseSink, like any command's.
  virtual void run_once_job(TimePoint now, CallId call, std::string_view job_name,
                            CommandRequest&& request) = 0;
  // The call's client no longer waits. Calls that are not of a run-once job are ignored.
  virtual void client_gone(TimePoint now, CallId call) = 0;

  struct Reply {
    enum class Kind : uint8_t { kDone, kRejected, kInvalidParams, kNoQuorum, kOutcomeUnknown };
    Kind kind = Kind::kOutcomeUnknown;
    // JSON of the result (kDone) or of the compatibility violations (kRejected); the reason (kInvalidParams).
    std::string text;
  };
  using ReplyCallback = std::function<void(const Reply&)>;
  // Reads or changes a topic's versions or declarations. `method` and `params` are the client's own. The
  // callback is called once, after this call has returned, unless the process ends first.
  virtual void handle_topic_request(TimePoint now, std::string_view method, std::string_view topic,
                                    const std::string& params, Duration timeout, ReplyCallback callback) = 0;
};

constexpr size_t kMaxClusterNameBytes = 128;  // of a run-once job's or a topic's name

}  // namespace firvalve
