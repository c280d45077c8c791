// Clients' requests about topics: read, handed to the registry of schemas, and answered once their end is
// known.
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

// Used on the loop's thread alone.
class TopicRequests {
 public:
  using Reply = ClusterRequests::Reply;
  using ReplyCallback = ClusterRequests::ReplyCallback;

  TopicRequests(schema::Registry& registry, const ClusterLog& log) : registry_(registry), log_(log) {}

  // `method` is the client's, `params` its JSON. `callback` is called by a later deliver_replies().
  void request(std::string_view method, std::string_view topic, const std::string& params, Duration timeout,
               ReplyCallback callback);
  void deliver_replies();

 private:
  struct Rejected {  // before the registry saw it
    ReplyCallback callback;
    std::string reason;
  };

  schema::Registry& registry_;
  const ClusterLog& log_;
  std::vector<Rejected> rejected_;
  std::map<uint64_t, ReplyCallback> pending_;  // by the registry's number of the change
};

}  // namespace firvalve::cluster
