// Writes the output of this gateway's acceptor to storage and delivers its messages afterwards.
//
// A promise must be durable before its message is sent. While writes fail, this replica sends nothing, and
// the other replicas must form the quorum. The failed writes are retried with a later output.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "base/time.h"
#include "cluster/cluster_log.h"
#include "cluster/cluster_node.h"
#include "cluster/replica_storage.h"

namespace firvalve::cluster {

// Must be used on the event loop's thread only. The storage does its writes on its own thread
// (replica_storage.h).
class OutputWriter {
 public:
  // Delivers messages. Returns whether any of them was addressed to this gateway's own node.
  using Deliver = std::function<bool(const std::vector<consensus::Envelope>&)>;

  // `directory` is used in log events only.
  OutputWriter(ReplicaStorage& storage, std::string directory, const ClusterLog& log)
      : storage_(storage), directory_(std::move(directory)), log_(log) {}

  // Delivers the messages of outputs that have become durable, and returns failed outputs to the node.
  void process_write_results(BootClock::time_point now, ClusterNode& node, const Deliver& deliver);
  // Queues the node's next output for writing. Delivers it at once if it needs no write and none is pending;
  // returns it to the node while writes are suspended after a failure. Returns the result of `deliver`, or
  // false if it was not called.
  bool submit_output(consensus::AcceptorOutput output, ClusterNode& node, const Deliver& deliver);

  // When writes resume after a failure; empty if they are not suspended.
  std::optional<BootClock::time_point> next_due() const { return resume_writes_at_; }

 private:
  ReplicaStorage& storage_;
  const std::string directory_;
  const ClusterLog& log_;
  std::optional<BootClock::time_point> resume_writes_at_;
  bool has_write_failed_ = false;  // whether the last finished write failed
};

}  // namespace firvalve::cluster
