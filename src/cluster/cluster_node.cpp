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
  out.replica_count = t.keepers;
  out.max_value_bytes = t.record_bytes;
  return out;
}

consensus::ProposerOptions asker_options(const ClusterNodeOptions& t) {
  consensus::ProposerOptions out;
  out.replica_count = t.keepers;
  out.proposer_id = mixed(t.draw + 1);
  out.seed = mixed(t.draw + 2);
  return out;
}

lease::LeaseOptions duty_options(const ClusterNodeOptions& t) {
  return {t.name, mixed(t.draw + 3), duration_of(t.lease)};
}

}  // namespace

ClusterNode::ClusterNode(Ms now, const ClusterNodeOptions& options)
    : options_(options),
      asker_(asker_options(options)),
      follower_(options.keepers, static_cast<consensus::PeerId>(mixed(options.draw) % options.keepers)),
      duties_(time_point_of<BootClock>(now), duty_options(options)),
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
  switch (m.type) {
    case MessageType::kPromise:
    case MessageType::kAccepted:
    case MessageType::kRejected:
      asker_.handle(time_point_of<BootClock>(now), from, m);
      break;
    case MessageType::kChanges:
      follower_.handle(time_point_of<BootClock>(now), from, m);
      break;
    default:
      if (keeper_) keeper_->handle(time_point_of<BootClock>(now), from, m);
  }
  go_on(now);
}

// What one part has to tell another, until none has.
void ClusterNode::go_on(Ms now) {
  const auto time = time_point_of<BootClock>(now);
  for (bool more = true; more;) {
    more = false;
    for (const consensus::ProposalResult& end : asker_.take_results()) {
      more = true;
      if (end.proposal.key.starts_with(schema::Registry::kPrefix))
        registry_.on_result(now, end);
      else if (duties_.is_candidate_for(end.proposal.key))
        duties_.on_result(time, end);
      else
        ends_.push_back(end);
    }
    for (const auto& [key, fact] : follower_.take_updates()) see(now, key, fact);
    if (follower_.is_synced()) duties_.on_synced(time);
    for (consensus::Proposal& wish : duties_.take_proposals()) {
      more = true;
      asker_.propose(time, std::move(wish));
    }
    for (consensus::Proposal& wish : registry_.take_proposals()) {
      more = true;
      asker_.propose(time, std::move(wish));
    }
    for (lease::Event& event : duties_.take_events()) {
      more = true;
      merges_.handle(time, event);
      events_.push_back(std::move(event));
    }
  }
}

void ClusterNode::see(Ms now, const std::string& key, const consensus::Register& fact) {
  duties_.observe(time_point_of<BootClock>(now), key, fact);
  // Keepers look after declarations; that others need not read every bulletin whole is all that it is for.
  if (!keeper_ || !key.starts_with(schema::Registry::kPrefix)) return;
  std::string why;
  if (const auto b = schema::read_bulletin(fact.value, why))
    lapses_.saw(now, key.substr(std::string_view(schema::Registry::kPrefix).size()), *b);
}

void ClusterNode::due(Ms now) {
  const auto time = time_point_of<BootClock>(now);
  for (schema::Change& lapse : lapses_.due(now)) registry_.ask(now, std::move(lapse), now + kLapseMost);
  if (keeper_) keeper_->on_tick(time);
  asker_.on_tick(time);
  follower_.on_tick(time);
  duties_.on_tick(time);
  merges_.on_tick(time);
  go_on(now);
}

Ms ClusterNode::next_due() const {
  Ms next = 0;
  const auto sooner = [&next](Ms at) {
    if (at > 0 && (next == 0 || at < next)) next = at;
  };
  const auto sooner_of = [&sooner](std::optional<consensus::BootTime> at) {
    if (at) sooner(to_ms(*at));
  };
  if (keeper_) sooner_of(keeper_->next_deadline());
  sooner_of(asker_.next_deadline());
  sooner_of(follower_.next_deadline());
  sooner_of(duties_.next_deadline());
  sooner_of(merges_.next_deadline());
  sooner(lapses_.next_due());
  return next;
}

ClusterNode::Out ClusterNode::take() {
  Out out;
  if (keeper_) out.keeper = keeper_->take_output();
  out.sends = asker_.take_messages();
  for (consensus::Envelope& e : follower_.take_messages()) out.sends.push_back(std::move(e));
  return out;
}

}  // namespace firvalve::cluster
