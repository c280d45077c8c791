// Makes what this gateway's acceptor puts out durable and releases its messages afterwards.
//
// A promise must be on the disk before its message leaves. While the disk takes no writes this replica sends
// nothing, and the others are the majority; the writes are offered again with a later output.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "base/time.h"
#include "cluster/cluster_log.h"
#include "cluster/cluster_node.h"
#include "cluster/replica_storage.h"

namespace firvalve::cluster {

// Used on the loop's thread alone; the writes themselves go on beside it (replica_storage.h).
class OutputWriter {
 public:
  // Delivers messages; whether any of them came back to this gateway's own node.
  using Deliver = std::function<bool(const std::vector<consensus::Envelope>&)>;

  // `directory` is for the log.
  OutputWriter(ReplicaStorage& storage, std::string directory, const ClusterLog& log)
      : storage_(storage), directory_(std::move(directory)), log_(log) {}

  // Delivers the messages of outputs that have been written since. Failed ones go back to the node.
  void complete_outputs(BootClock::time_point now, ClusterNode& node, const Deliver& deliver);
  // Takes the node's next output: it is written, delivered at once where it needs no write, or put back while
  // the disk takes none. The result is that of `deliver`.
  bool begin_output(consensus::AcceptorOutput output, ClusterNode& node, const Deliver& deliver);

  // When the disk is tried again; none: it has not failed.
  std::optional<BootClock::time_point> next_due() const { return write_again_at_; }

 private:
  ReplicaStorage& storage_;
  const std::string directory_;
  const ClusterLog& log_;
  std::optional<BootClock::time_point> write_again_at_;
  bool has_failed_ = false;  // since the last one that was written
};

}  // namespace firvalve::cluster
