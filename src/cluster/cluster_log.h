// Log events and metrics of the cluster, one function each: all their names and fields are defined here.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "cluster/cluster_node.h"
#include "core/metrics.h"
#include "lease/lease_manager.h"
#include "log/log.h"
#include "schema/registry.h"

namespace firvalve::cluster {

using LogSink = std::function<void(log::Level, std::string_view event, log::Fields fields)>;

// Must be used on the event loop's thread only.
class ClusterLog {
 public:
  ClusterLog(LogSink sink, Metrics& metrics) : sink_(std::move(sink)), metrics_(metrics) {}

  // cluster.peer_connected
  void record_connected(const std::string& peer) const;
  // cluster.peer_disconnected
  void record_disconnected(std::string_view peer, std::string_view reason) const;
  // cluster.frame_rejected
  void record_rejected_frame(const std::string& peer, const char* reason) const;
  void count_sent_frame() const;

  // Counts each failed write. Logs consensus.write_failed only for the first of consecutive failures.
  void record_failed_write(const std::string& directory, const std::string& reason, bool is_first) const;
  // consensus.replica_ready
  void record_replica_ready(size_t registers) const;

  // lease.acquired, lease.renewed, lease.released, lease.lost, lease.unreadable
  void record_lease_event(BootClock::time_point now, const lease::Event& event) const;
  // lease.run_once_job_started
  void record_started_job(const std::string& job) const;
  void count_requested_job() const;

  // schema.change_agreed, schema.change_rejected. Reads and other results are not logged.
  void record_topic_change(const schema::Registry::Result& result) const;
  void count_topic_request(std::string_view method) const;

  // The current state, logged on SIGUSR1: consensus.replica_status, cluster.peer_status, lease.status.
  void record_replica_status(const consensus::Acceptor& acceptor) const;
  void record_peer_status(const std::string& peer, bool is_connected) const;
  // `record`: the latest record observed, or null.
  void record_lease_status(const std::string& lease, const lease::LeaseRecord* record,
                           bool is_held_here) const;

 private:
  LogSink sink_;
  Metrics& metrics_;
};

}  // namespace firvalve::cluster
