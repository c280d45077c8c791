#include "cluster/cluster_node.h"

#include "schema/topic_codec.h"

namespace firvalve::cluster {

using consensus::BootTime;
using consensus::MessageType;

namespace {

// Timeout of the withdrawal of an expired declaration. A withdrawal that fails is proposed again.
constexpr Duration kWithdrawalTimeout(5000);

// Derives independent nonzero numbers from consecutive seeds (the finalizer of MurmurHash3).
uint64_t mix_bits(uint64_t number) {
  number = (number ^ (number >> 33)) * 0xff51afd7ed558ccdull;
  number = (number ^ (number >> 33)) * 0xc4ceb9fe1a85ec53ull;
  return (number ^ (number >> 33)) | 1;
}

// Maps a random number to [0, 1).
double to_unit_interval(uint64_t number) {
  return static_cast<double>(number >> 11) / static_cast<double>(uint64_t{1} << 53);
}

consensus::AcceptorOptions acceptor_options(const ClusterNodeOptions& options) {
  consensus::AcceptorOptions out;
  out.self = options.self;
  out.replica_count = options.replica_count;
  out.max_value_bytes = options.max_register_bytes;
  return out;
}

consensus::ProposerOptions proposer_options(const ClusterNodeOptions& options) {
  consensus::ProposerOptions out;
  out.replica_count = options.replica_count;
  out.proposer_id = mix_bits(options.random_seed + 1);
  out.seed = mix_bits(options.random_seed + 2);
  return out;
}

lease::LeaseOptions lease_options(const ClusterNodeOptions& options) {
  return {options.name, mix_bits(options.random_seed + 3), options.lease_duration};
}

consensus::PeerId first_watched_replica(const ClusterNodeOptions& options) {
  return static_cast<consensus::PeerId>(mix_bits(options.random_seed) % options.replica_count);
}

}  // namespace

ClusterNode::ClusterNode(BootTime now, const ClusterNodeOptions& options)
    : options_(options),
      proposer_(proposer_options(options)),
      watcher_(options.replica_count, first_watched_replica(options)),
      leases_(now, lease_options(options)),
      run_once_jobs_(leases_, mix_bits(options.random_seed + 4)),
      registry_(mix_bits(options.random_seed + 6)),
      declaration_expiry_(to_unit_interval(mix_bits(options.random_seed + 7))) {
  if (options.self < options.replica_count)
    acceptor_.emplace(acceptor_options(options), mix_bits(options.random_seed + 5));
}

ClusterNode::ClusterNode(BootTime now, const ClusterNodeOptions& options, consensus::ReplicaMetadata metadata,
                         std::map<std::string, consensus::AcceptorSlot> slots)
    : ClusterNode(now, options) {
  acceptor_.emplace(acceptor_options(options), std::move(metadata), std::move(slots));
}

void ClusterNode::handle(BootTime now, consensus::PeerId from, const consensus::Message& message) {
  switch (message.type) {
    case MessageType::kPromise:
    case MessageType::kAccepted:
    case MessageType::kRejected:
      proposer_.handle(now, from, message);
      break;
    case MessageType::kChanges:
      watcher_.handle(now, from, message);
      break;
    default:
      if (acceptor_) acceptor_->handle(now, from, message);
  }
  exchange_events(now);
}

// Passes results, updates and proposals between the state machines until none has any left.
void ClusterNode::exchange_events(BootTime now) {
  for (bool has_more = true; has_more;) {
    has_more = dispatch_results(now);
    for (const auto& [key, value] : watcher_.take_updates()) handle_register(now, key, value);
    if (watcher_.is_synced()) leases_.on_synced(now);
    has_more |= propose_all(now, leases_.take_proposals());
    has_more |= propose_all(now, registry_.take_proposals());
    for (lease::Event& event : leases_.take_events()) {
      has_more = true;
      run_once_jobs_.handle(now, event);
      events_.push_back(std::move(event));
    }
  }
}

bool ClusterNode::dispatch_results(BootTime now) {
  const std::vector<consensus::ProposalResult> results = proposer_.take_results();
  for (const consensus::ProposalResult& result : results) {
    if (result.proposal.key.starts_with(schema::Registry::kKeyPrefix))
      registry_.handle_result(result);
    else if (leases_.is_candidate_for(result.proposal.key))
      leases_.on_result(now, result);
    else
      results_.push_back(result);
  }
  return !results.empty();
}

bool ClusterNode::propose_all(BootTime now, std::vector<consensus::Proposal> proposals) {
  for (consensus::Proposal& proposal : proposals) proposer_.propose(now, std::move(proposal));
  return !proposals.empty();
}

void ClusterNode::handle_register(BootTime now, const std::string& key, const consensus::Register& value) {
  leases_.observe(now, key, value);
  // Only replicas track the expiry of declarations; other gateways need not decode every topic.
  constexpr std::string_view kPrefix = schema::Registry::kKeyPrefix;
  if (!acceptor_ || !key.starts_with(kPrefix)) return;
  std::string why;
  if (const auto topic = schema::decode_topic(value.value, why))
    declaration_expiry_.observe(now, key.substr(kPrefix.size()), *topic);
}

void ClusterNode::on_tick(BootTime now) {
  for (schema::Change& withdrawal : declaration_expiry_.take_due_withdrawals(now))
    registry_.submit(std::move(withdrawal), now + kWithdrawalTimeout);
  if (acceptor_) acceptor_->on_tick(now);
  proposer_.on_tick(now);
  watcher_.on_tick(now);
  leases_.on_tick(now);
  run_once_jobs_.on_tick(now);
  exchange_events(now);
}

std::optional<BootTime> ClusterNode::next_deadline() const {
  std::optional<BootTime> next = watcher_.next_deadline();
  if (acceptor_) next = earlier_of(next, acceptor_->next_deadline());
  next = earlier_of(next, proposer_.next_deadline());
  next = earlier_of(next, leases_.next_deadline());
  next = earlier_of(next, run_once_jobs_.next_deadline());
  return earlier_of(next, declaration_expiry_.next_due());
}

ClusterNode::Output ClusterNode::take_output() {
  Output output;
  if (acceptor_) output.acceptor = acceptor_->take_output();
  output.envelopes = proposer_.take_messages();
  for (consensus::Envelope& envelope : watcher_.take_messages())
    output.envelopes.push_back(std::move(envelope));
  return output;
}

}  // namespace firvalve::cluster
