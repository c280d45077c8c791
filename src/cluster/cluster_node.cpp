#include "cluster/cluster_node.h"

#include "schema/topic_codec.h"

namespace firvalve::cluster {

using consensus::MessageType;

namespace {

constexpr Ms kExpiryTimeout = 5000;  // for a withdrawal to be agreed; it is asked for again otherwise

uint64_t mixed(uint64_t z) {
  z = (z ^ (z >> 33)) * 0xff51afd7ed558ccdull;
  z = (z ^ (z >> 33)) * 0xc4ceb9fe1a85ec53ull;
  return (z ^ (z >> 33)) | 1;
}

consensus::AcceptorOptions acceptor_options(const ClusterNodeOptions& options) {
  consensus::AcceptorOptions out;
  out.self = options.self;
  out.keepers = options.replicas;
  out.bytes_most = options.max_register_bytes;
  return out;
}

consensus::ProposerOptions proposer_options(const ClusterNodeOptions& options) {
  consensus::ProposerOptions out;
  out.keepers = options.replicas;
  out.asker = mixed(options.random_seed + 1);
  out.seed = mixed(options.random_seed + 2);
  return out;
}

lease::LeaseOptions lease_options(const ClusterNodeOptions& options) {
  return {options.name, mixed(options.random_seed + 3), to_ms(options.lease_duration)};
}

}  // namespace

ClusterNode::ClusterNode(Ms now, const ClusterNodeOptions& options)
    : options_(options),
      proposer_(proposer_options(options)),
      watcher_(options.replicas,
               static_cast<consensus::PeerId>(mixed(options.random_seed) % options.replicas)),
      leases_(now, lease_options(options)),
      run_once_jobs_(leases_, mixed(options.random_seed + 4)),
      registry_(mixed(options.random_seed + 6)),
      declaration_expiry_(static_cast<double>(mixed(options.random_seed + 7) >> 11) /
                          static_cast<double>(uint64_t{1} << 53)) {
  if (options.self < options.replicas)
    acceptor_.emplace(acceptor_options(options), mixed(options.random_seed + 5));
}

ClusterNode::ClusterNode(Ms now, const ClusterNodeOptions& options, consensus::ReplicaMetadata standing,
                         std::map<std::string, consensus::AcceptorSlot> slots)
    : ClusterNode(now, options) {
  acceptor_.emplace(acceptor_options(options), std::move(standing), std::move(slots));
}

void ClusterNode::handle(Ms now, consensus::PeerId from, const consensus::Message& message) {
  switch (message.say) {
    case MessageType::kPromise:
    case MessageType::kAccepted:
    case MessageType::kRefused:
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

// What one part has to tell another, until none has.
void ClusterNode::exchange_events(Ms now) {
  for (bool more = true; more;) {
    more = false;
    for (const consensus::ProposalResult& end : proposer_.take_ends()) {
      more = true;
      if (end.wish.key.starts_with(schema::Registry::kKeyPrefix))
        registry_.handle_result(end);
      else if (leases_.wants(end.wish.key))
        leases_.ended(now, end);
      else
        results_.push_back(end);
    }
    for (const auto& [key, fact] : watcher_.take_seen()) handle_register(now, key, fact);
    if (watcher_.whole()) leases_.looked(now);
    for (consensus::Proposal& wish : leases_.take_wishes()) {
      more = true;
      proposer_.ask(now, std::move(wish));
    }
    for (consensus::Proposal& wish : registry_.take_proposals()) {
      more = true;
      proposer_.ask(now, std::move(wish));
    }
    for (lease::Event& event : leases_.take_events()) {
      more = true;
      run_once_jobs_.handle(now, event);
      events_.push_back(std::move(event));
    }
  }
}

void ClusterNode::handle_register(Ms now, const std::string& key, const consensus::Register& fact) {
  leases_.saw(now, key, fact);
  // Only replicas watch declarations, so that the others need not decode every topic.
  if (!acceptor_ || !key.starts_with(schema::Registry::kKeyPrefix)) return;
  std::string why;
  if (const auto topic = schema::decode_topic(fact.value, why))
    declaration_expiry_.observe(time_point_of<BootClock>(now),
                                key.substr(std::string_view(schema::Registry::kKeyPrefix).size()), *topic);
}

void ClusterNode::due(Ms now) {
  for (schema::Change& withdrawal : declaration_expiry_.due(time_point_of<BootClock>(now)))
    registry_.submit(std::move(withdrawal), time_point_of<BootClock>(now + kExpiryTimeout));
  if (acceptor_) acceptor_->due(now);
  proposer_.due(now);
  watcher_.due(now);
  leases_.due(now);
  run_once_jobs_.due(now);
  exchange_events(now);
}

Ms ClusterNode::next_due() const {
  Ms next = 0;
  const auto sooner = [&next](Ms at) {
    if (at > 0 && (next == 0 || at < next)) next = at;
  };
  if (acceptor_) sooner(acceptor_->next_due());
  sooner(proposer_.next_due());
  sooner(watcher_.next_due());
  sooner(leases_.next_due());
  sooner(run_once_jobs_.next_due());
  if (const auto at = declaration_expiry_.next_due()) sooner(to_ms(*at));
  return next;
}

ClusterNode::Output ClusterNode::take_output() {
  Output output;
  if (acceptor_) output.step = acceptor_->take();
  output.envelopes = proposer_.take_sends();
  for (consensus::Envelope& e : watcher_.take_sends()) output.envelopes.push_back(std::move(e));
  return output;
}

}  // namespace firvalve::cluster
