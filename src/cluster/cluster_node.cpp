#include "cluster/cluster_node.h"

namespace firvalve::cluster {

using consensus::MessageType;

namespace {

constexpr Ms kLapseMost = 5000;  // for a withdrawal to be agreed; it is asked for again otherwise

uint64_t mixed(uint64_t z) {
  z = (z ^ (z >> 33)) * 0xff51afd7ed558ccdull;
  z = (z ^ (z >> 33)) * 0xc4ceb9fe1a85ec53ull;
  return (z ^ (z >> 33)) | 1;
}

consensus::AcceptorOptions keeper_options(const ClusterNodeOptions& t) {
  consensus::AcceptorOptions out;
  out.self = t.self;
  out.keepers = t.keepers;
  out.bytes_most = t.record_bytes;
  return out;
}

consensus::ProposerOptions asker_options(const ClusterNodeOptions& t) {
  consensus::ProposerOptions out;
  out.keepers = t.keepers;
  out.asker = mixed(t.draw + 1);
  out.seed = mixed(t.draw + 2);
  return out;
}

lease::LeaseOptions duty_options(const ClusterNodeOptions& t) { return {t.name, mixed(t.draw + 3), t.lease}; }

}  // namespace

ClusterNode::ClusterNode(Ms now, const ClusterNodeOptions& options)
    : options_(options),
      asker_(asker_options(options)),
      follower_(options.keepers, static_cast<consensus::PeerId>(mixed(options.draw) % options.keepers)),
      duties_(now, duty_options(options)),
      merges_(duties_, mixed(options.draw + 4)),
      registry_(mixed(options.draw + 6)),
      lapses_(static_cast<double>(mixed(options.draw + 7) >> 11) / static_cast<double>(uint64_t{1} << 53)) {
  if (options.self < options.keepers) keeper_.emplace(keeper_options(options), mixed(options.draw + 5));
}

ClusterNode::ClusterNode(Ms now, const ClusterNodeOptions& options, consensus::ReplicaMetadata standing,
                         std::map<std::string, consensus::AcceptorSlot> slots)
    : ClusterNode(now, options) {
  keeper_.emplace(keeper_options(options), std::move(standing), std::move(slots));
}

void ClusterNode::handle(Ms now, consensus::PeerId from, const consensus::Message& m) {
  switch (m.say) {
    case MessageType::kPromise:
    case MessageType::kAccepted:
    case MessageType::kRefused:
      asker_.handle(now, from, m);
      break;
    case MessageType::kChanges:
      follower_.handle(now, from, m);
      break;
    default:
      if (keeper_) keeper_->handle(now, from, m);
  }
  go_on(now);
}

// What one part has to tell another, until none has.
void ClusterNode::go_on(Ms now) {
  for (bool more = true; more;) {
    more = false;
    for (const consensus::ProposalResult& end : asker_.take_ends()) {
      more = true;
      if (end.wish.key.starts_with(schema::Registry::kPrefix))
        registry_.ended(now, end);
      else if (duties_.wants(end.wish.key))
        duties_.ended(now, end);
      else
        ends_.push_back(end);
    }
    for (const auto& [key, fact] : follower_.take_seen()) see(now, key, fact);
    if (follower_.whole()) duties_.looked(now);
    for (consensus::Proposal& wish : duties_.take_wishes()) {
      more = true;
      asker_.ask(now, std::move(wish));
    }
    for (consensus::Proposal& wish : registry_.take_wishes()) {
      more = true;
      asker_.ask(now, std::move(wish));
    }
    for (lease::Event& event : duties_.take_events()) {
      more = true;
      merges_.handle(now, event);
      events_.push_back(std::move(event));
    }
  }
}

void ClusterNode::see(Ms now, const std::string& key, const consensus::Register& fact) {
  duties_.saw(now, key, fact);
  // Keepers look after declarations; that others need not read every bulletin whole is all that it is for.
  if (!keeper_ || !key.starts_with(schema::Registry::kPrefix)) return;
  std::string why;
  if (const auto b = schema::read_bulletin(fact.value, why))
    lapses_.saw(now, key.substr(std::string_view(schema::Registry::kPrefix).size()), *b);
}

void ClusterNode::due(Ms now) {
  for (schema::Change& lapse : lapses_.due(now)) registry_.ask(now, std::move(lapse), now + kLapseMost);
  if (keeper_) keeper_->due(now);
  asker_.due(now);
  follower_.due(now);
  duties_.due(now);
  merges_.due(now);
  go_on(now);
}

Ms ClusterNode::next_due() const {
  Ms next = 0;
  const auto sooner = [&next](Ms at) {
    if (at > 0 && (next == 0 || at < next)) next = at;
  };
  if (keeper_) sooner(keeper_->next_due());
  sooner(asker_.next_due());
  sooner(follower_.next_due());
  sooner(duties_.next_due());
  sooner(merges_.next_due());
  sooner(lapses_.next_due());
  return next;
}

ClusterNode::Out ClusterNode::take() {
  Out out;
  if (keeper_) out.keeper = keeper_->take();
  out.sends = asker_.take_sends();
  for (consensus::Envelope& e : follower_.take_sends()) out.sends.push_back(std::move(e));
  return out;
}

}  // namespace firvalve::cluster
