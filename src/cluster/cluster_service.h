// The cluster component of the gateway program. It connects the state machines (cluster_node.h) to the peer
// connections, the storage, the clock and the requests of clients.
//
// Everything runs on the event loop's thread, except writes to storage, which have their own thread. The
// cluster uses BootClock times; the loop and the deadlines of clients use MonotonicClock times.
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

// Also the core's response sink: the response to a command that executes a run-once job completes that job;
// all other responses are forwarded to the clients.
class ClusterService : public ResponseSink, public ClusterRequests, private PeerConnections::Receiver {
 public:
  // `clients` receives the responses. Throws a std::exception with a one-sentence reason if the storage
  // directory cannot be used or the listen address cannot be bound.
  ClusterService(net::Loop& loop, Metrics& metrics, const ClusterOptions& options, ResponseSink& clients,
                 LogSink log_sink);
  void set_core(Core& core);  // the core executes the commands of run-once jobs

  void due(TimePoint now);  // to be called once per turn of the event loop
  TimePoint next_due(TimePoint now) const;

  // Starts a graceful shutdown. Leases are handed over once the running run-once jobs have ended. Requests
  // for jobs that have not started fail.
  void begin_shutdown(TimePoint now, TimePoint deadline);
  // Whether no request is open and all leases are handed over, or the time limit for the handover has passed.
  // Always true unless a shutdown has begun.
  bool is_shut_down() const;

  void log_status() const;  // logs the state of the replica, peers and leases, on SIGUSR1
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
  void handle_peer_disconnected(consensus::PeerId peer) override;

  void exchange_messages(consensus::BootTime now);
  bool deliver(consensus::BootTime now, const std::vector<consensus::Envelope>& envelopes, FrameBatch& batch);
  void continue_shutdown(consensus::BootTime now);
  void log_events();
  void log_readiness();

  const ClusterOptions options_;
  const consensus::PeerId self_;  // the number of replicas if this gateway is not a replica
  ResponseSink& clients_;
  const ClusterLog log_;
  std::unique_ptr<net::Waker> waker_;            // must outlive the storage, whose thread uses it
  std::unique_ptr<ReplicaStorage> storage_;      // null: not a replica, or a replica in memory only
  std::unique_ptr<OutputWriter> output_writer_;  // null: no storage
  std::unique_ptr<ClusterNode> node_;
  std::unique_ptr<PeerConnections> connections_;
  std::unique_ptr<RunOnceRequests> run_once_requests_;
  std::unique_ptr<TopicRequests> topic_requests_;
  // The latest time at which the next turn should start. A later start means that the process was suspended.
  std::optional<consensus::BootTime> next_turn_expected_at_;
  bool is_shutting_down_ = false;
  // During a shutdown: the time since which no run-once request has been open.
  std::optional<consensus::BootTime> idle_since_;
  bool was_ready_ = false;  // whether the replica was ready at the last turn
};

}  // namespace firvalve::cluster
