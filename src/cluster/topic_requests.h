// Handles clients' requests about topics: decodes them, submits them to the schema registry and replies once
// the outcome is known.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "cluster/cluster_log.h"
#include "core/cluster_requests.h"
#include "schema/registry.h"

namespace firvalve::cluster {

// Must be used on the event loop's thread only.
class TopicRequests {
 public:
  using Reply = ClusterRequests::Reply;
  using ReplyCallback = ClusterRequests::ReplyCallback;

  TopicRequests(schema::Registry& registry, const ClusterLog& log) : registry_(registry), log_(log) {}

  // `method` and `params` (JSON) are those of the client's request. A later deliver_replies() calls
  // `callback`.
  void submit(std::string_view method, std::string_view topic, const std::string& params, Duration timeout,
              ReplyCallback callback);
  void deliver_replies();

 private:
  struct Rejected {  // a request that was invalid and not submitted to the registry
    ReplyCallback callback;
    std::string reason;
  };

  schema::Registry& registry_;
  const ClusterLog& log_;
  std::vector<Rejected> rejected_;
  std::map<uint64_t, ReplyCallback> pending_;  // by the change number that the registry assigned
};

}  // namespace firvalve::cluster
