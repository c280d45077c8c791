#include "cluster/cluster_service.h"

#include <algorithm>

namespace firvalve::cluster {

using consensus::BootTime;
using consensus::Envelope;
using consensus::Message;
using consensus::PeerId;

namespace {

constexpr Duration kMaxTurnInterval(1000);
// Limits how long a shutdown waits for lease handovers after all requests have ended.
constexpr Duration kHandoverTimeout(1500);

PeerId own_id(const ClusterOptions& options) {
  const auto self = std::find(options.replicas.begin(), options.replicas.end(), options.name);
  return static_cast<PeerId>(self - options.replicas.begin());
}

ClusterNodeOptions node_options(const ClusterOptions& options, PeerId self) {
  ClusterNodeOptions out;
  out.replica_count = static_cast<uint32_t>(options.replicas.size());
  out.self = self;
  out.name = options.name;
  out.random_seed = options.random_seed;
  out.lease_duration = options.lease_duration;
  out.max_register_bytes = options.max_register_bytes;
  return out;
}

}  // namespace

ClusterService::ClusterService(net::Loop& loop, Metrics& metrics, const ClusterOptions& options,
                               ResponseSink& clients, LogSink log_sink)
    : options_(options), self_(own_id(options)), clients_(clients), log_(std::move(log_sink), metrics) {
  const BootTime now = BootClock::now();
  const bool is_replica = self_ < options.replicas.size();
  if (is_replica && !options.storage_directory.empty()) {
    // A finished write starts a turn of the loop, which processes its result.
    waker_ = std::make_unique<net::Waker>(loop);
    storage_ = std::make_unique<ReplicaStorage>(options.storage_directory, options.name,
                                                hash_of_replicas(options.replicas),
                                                [waker = waker_.get()] { waker->wake(); });
    output_writer_ = std::make_unique<OutputWriter>(*storage_, options.storage_directory, log_);
  }
  const ClusterNodeOptions node = node_options(options, self_);
  if (storage_ && storage_->metadata)
    node_ = std::make_unique<ClusterNode>(now, node, *storage_->metadata, std::exchange(storage_->slots, {}));
  else
    node_ = std::make_unique<ClusterNode>(now, node);
  run_once_requests_ = std::make_unique<RunOnceRequests>(node_->run_once_jobs(), clients, log_);
  topic_requests_ = std::make_unique<TopicRequests>(node_->registry(), log_);
  for (const std::string& lease : options.leases)
    if (!lease.ends_with("*")) node_->leases().campaign(now, lease);
  connections_ = std::make_unique<PeerConnections>(loop, options_, self_,
                                                   static_cast<PeerConnections::Receiver&>(*this), log_);
}

void ClusterService::set_core(Core& core) { run_once_requests_->set_core(core); }

void ClusterService::handle_message(BootTime now, PeerId from, const Message& message) {
  node_->handle(now, from, message);
}

void ClusterService::handle_peer_disconnected(PeerId peer) {
  if (node_->acceptor()) node_->acceptor()->remove_watcher(peer);
}

// Returns whether one of them was addressed to this gateway's own node, which may then have more output.
bool ClusterService::deliver(BootTime now, const std::vector<Envelope>& envelopes, FrameBatch& batch) {
  bool has_own_message = false;
  for (const Envelope& envelope : envelopes) {
    if (node_->is_replica() && envelope.to == self_) {
      node_->handle(now, envelope.to, envelope.message);
      has_own_message = true;
    } else {
      connections_->add_to(batch, envelope);
    }
  }
  return has_own_message;
}

// Delivers all output of the state machines: messages to the own node directly, those to each peer in as few
// frames as possible.
void ClusterService::exchange_messages(BootTime now) {
  FrameBatch batch;
  const OutputWriter::Deliver deliver_now = [&](const std::vector<Envelope>& envelopes) {
    return deliver(now, envelopes, batch);
  };
  if (output_writer_) output_writer_->process_write_results(now, *node_, deliver_now);
  for (bool has_more = true; has_more;) {
    ClusterNode::Output output = node_->take_output();
    has_more = deliver_now(output.envelopes);
    has_more |= output_writer_
                    ? output_writer_->submit_output(std::move(output.acceptor), *node_, deliver_now)
                    : deliver_now(output.acceptor.messages);
  }
  connections_->send(batch, now);
}

void ClusterService::due(TimePoint now) {
  const BootTime boot_now = BootClock::now();
  // This turn is late, so the process may have been suspended for that time.
  if (next_turn_expected_at_ && boot_now > *next_turn_expected_at_)
    node_->leases().on_pause(boot_now, boot_now - *next_turn_expected_at_);
  connections_->due(boot_now);
  node_->on_tick(boot_now);
  exchange_messages(boot_now);
  run_once_requests_->execute_actions(now);
  topic_requests_->deliver_replies();
  log_events();
  if (is_shutting_down_) continue_shutdown(boot_now);
  log_readiness();
  next_turn_expected_at_ = boot_now + std::max(next_due(now) - now, Duration(0));
}

TimePoint ClusterService::next_due(TimePoint now) const {
  const BootTime boot_now = BootClock::now();
  std::optional<BootTime> next = boot_now + kMaxTurnInterval;
  if (output_writer_) next = earlier_of(next, output_writer_->next_due());
  next = earlier_of(next, node_->next_deadline());
  next = earlier_of(next, connections_->next_due());
  return now + std::max(*next - boot_now, Duration(0));
}

void ClusterService::begin_shutdown(TimePoint now, TimePoint deadline) {
  is_shutting_down_ = true;
  run_once_requests_->begin_shutdown(deadline);
  run_once_requests_->execute_actions(now);
}

void ClusterService::continue_shutdown(BootTime now) {
  if (!node_->run_once_jobs().is_running()) node_->leases().release_all(now);
  if (!run_once_requests_->is_idle())
    idle_since_.reset();
  else if (!idle_since_)
    idle_since_ = now;
  exchange_messages(now);
  log_events();
}

bool ClusterService::is_shut_down() const {
  if (!is_shutting_down_) return true;
  if (!run_once_requests_->is_idle()) return false;
  return !node_->leases().holds_any() || (idle_since_ && BootClock::now() >= *idle_since_ + kHandoverTimeout);
}

void ClusterService::log_events() {
  const BootTime now = BootClock::now();
  for (const lease::Event& event : node_->take_events()) log_.record_lease_event(now, event);
}

void ClusterService::log_readiness() {
  const consensus::Acceptor* const acceptor = node_->acceptor();
  const bool is_ready = acceptor && acceptor->is_voting();
  if (is_ready && !was_ready_) log_.record_replica_ready(acceptor->slots().size());
  was_ready_ = is_ready;
}

void ClusterService::log_status() const {
  const BootTime now = BootClock::now();
  if (const consensus::Acceptor* const acceptor = node_->acceptor()) log_.record_replica_status(*acceptor);
  connections_->log_status();
  node_->leases().for_each([&](const std::string& lease, const lease::LeaseRecord* record, bool is_holder) {
    log_.record_lease_status(lease, record, is_holder && node_->leases().active_epoch(now, lease));
  });
}

void ClusterService::answer(CallId call, std::string_view rows) {
  if (!run_once_requests_->finish_command(call, lease::RunOnceJobs::RunOutcome::kCompleted, rows))
    clients_.answer(call, rows);
}

void ClusterService::shed(CallId call, std::optional<Duration> retry_after) {
  if (!run_once_requests_->finish_command(call, lease::RunOnceJobs::RunOutcome::kNeverRan, {}, retry_after))
    clients_.shed(call, retry_after);
}

void ClusterService::fail(CallId call, std::string_view reason) {
  if (!run_once_requests_->finish_command(call, lease::RunOnceJobs::RunOutcome::kFailed))
    clients_.fail(call, reason);
}

void ClusterService::run_once_job(TimePoint now, CallId call, std::string_view job_name,
                                  CommandRequest&& request) {
  run_once_requests_->submit(now, call, job_name, std::move(request));
}

void ClusterService::client_gone(TimePoint, CallId call) { run_once_requests_->cancel(call); }

void ClusterService::handle_topic_request(TimePoint, std::string_view method, std::string_view topic,
                                          const std::string& params, Duration timeout,
                                          ReplyCallback callback) {
  topic_requests_->submit(method, topic, params, timeout, std::move(callback));
}

}  // namespace firvalve::cluster
