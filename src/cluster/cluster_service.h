// A gateway's part in the cluster, in the program: it joins the state machines (cluster_node.h) with their
// connections, storage and clock, and with the clients' requests.
//
// One thread, the loop's; writes to storage go on beside it. Times within are the BootClock's; the loop's
// times, by which clients' deadlines count, are the MonotonicClock's.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "cluster/cluster_log.h"
#include "cluster/cluster_node.h"
#include "cluster/cluster_options.h"
#include "cluster/output_writer.h"
#include "cluster/peer_connections.h"
#include "cluster/replica_storage.h"
#include "cluster/run_once_requests.h"
#include "cluster/topic_requests.h"
#include "core/cluster_requests.h"
#include "core/core.h"
#include "net/waker.h"

namespace firvalve::cluster {

// As a response sink it stands between the core and the clients: answers to commands that run a run-once job
// are that job's end, all others pass through.
class ClusterService : public ResponseSink, public ClusterRequests, private PeerConnections::Receiver {
 public:
  // `clients` get the answers to their requests. Throws a std::exception that says why in one sentence: the
  // storage directory cannot be used, or the address is taken.
  ClusterService(net::Loop& loop, Metrics& metrics, const ClusterOptions& options, ResponseSink& clients,
                 LogSink log_sink);
  void set_core(Core& core);  // which runs the commands of run-once jobs

  void due(TimePoint now);  // once a turn of the loop
  TimePoint next_due(TimePoint now) const;

  // Graceful shutdown: leases are handed over once what was begun has ended. Run-once jobs that have not
  // begun by the deadline fail.
  void begin_shutdown(TimePoint now, TimePoint deadline);
  // Nothing is open here, or the hand-over was waited for long enough. True before a shutdown, too.
  bool is_shut_down() const;

  void log_status() const;  // leases and replicas, as events: for SIGUSR1
  const ConnectionCounts& connection_counts() const { return connections_->counts(); }

  // ResponseSink, called by the core.
  void answer(CallId call, std::string_view rows) override;
  void answer_paged(CallId call, ResultHandle result) override { clients_.answer_paged(call, result); }
  void shed(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, std::string_view reason) override;

  // ClusterRequests, called for clients.
  void run_once_job(TimePoint now, CallId call, std::string_view job_name, CommandRequest&& request) override;
  void client_gone(TimePoint now, CallId call) override;
  void handle_topic_request(TimePoint now, std::string_view method, std::string_view topic,
                            const std::string& params, Duration timeout, ReplyCallback callback) override;

 private:
  void handle_message(consensus::BootTime now, consensus::PeerId from,
                      const consensus::Message& message) override;
  void handle_peer_gone(consensus::PeerId peer) override;

  void exchange_messages(consensus::BootTime now);
  bool deliver(consensus::BootTime now, const std::vector<consensus::Envelope>& envelopes, FrameBatch& batch);
  void continue_shutdown(consensus::BootTime now);
  void log_events();
  void log_readiness();

  const ClusterOptions options_;
  const consensus::PeerId self_;  // the count of replicas where it is none
  ResponseSink& clients_;
  const ClusterLog log_;
  std::unique_ptr<net::Waker> waker_;            // outlives the storage, whose thread rings it
  std::unique_ptr<ReplicaStorage> storage_;      // null: no replica, or one in memory alone
  std::unique_ptr<OutputWriter> output_writer_;  // where there is storage
  std::unique_ptr<ClusterNode> node_;
  std::unique_ptr<PeerConnections> connections_;
  std::unique_ptr<RunOnceRequests> run_once_requests_;
  std::unique_ptr<TopicRequests> topic_requests_;
  std::optional<consensus::BootTime> expected_turn_;  // the next one is to come by then
  bool is_shutting_down_ = false;
  std::optional<consensus::BootTime> idle_since_;  // in a shutdown: no run-once job is open
  bool was_ready_ = false;                         // as a replica
};

}  // namespace firvalve::cluster
