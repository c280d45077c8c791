#include "fleet/node.h"

namespace firvalve::fleet {

using record::Say;

namespace {

constexpr Ms kLapseMost = 5000;  // for a withdrawal to be agreed; it is asked for again otherwise

uint64_t mixed(uint64_t z) {
  z = (z ^ (z >> 33)) * 0xff51afd7ed558ccdull;
  z = (z ^ (z >> 33)) * 0xc4ceb9fe1a85ec53ull;
  return (z ^ (z >> 33)) | 1;
}

record::KeeperTerms keeper_terms(const NodeTerms& t) {
  record::KeeperTerms out;
  out.self = t.self;
  out.keepers = t.keepers;
  out.bytes_most = t.record_bytes;
  return out;
}

record::AskerTerms asker_terms(const NodeTerms& t) {
  record::AskerTerms out;
  out.keepers = t.keepers;
  out.asker = mixed(t.draw + 1);
  out.seed = mixed(t.draw + 2);
  return out;
}

duty::Terms duty_terms(const NodeTerms& t) { return {t.name, mixed(t.draw + 3), t.lease}; }

}  // namespace

Node::Node(Ms now, const NodeTerms& terms)
    : terms_(terms),
      asker_(asker_terms(terms)),
      follower_(terms.keepers, static_cast<record::Peer>(mixed(terms.draw) % terms.keepers)),
      duties_(now, duty_terms(terms)),
      merges_(duties_, mixed(terms.draw + 4)),
      registry_(mixed(terms.draw + 6)),
      lapses_(static_cast<double>(mixed(terms.draw + 7) >> 11) / static_cast<double>(uint64_t{1} << 53)) {
  if (terms.self < terms.keepers) keeper_.emplace(keeper_terms(terms), mixed(terms.draw + 5));
}

Node::Node(Ms now, const NodeTerms& terms, record::Standing standing,
           std::map<std::string, record::Slot> slots)
    : Node(now, terms) {
  keeper_.emplace(keeper_terms(terms), std::move(standing), std::move(slots));
}

void Node::hear(Ms now, record::Peer from, const record::Message& m) {
  switch (m.say) {
    case Say::kPromise:
    case Say::kAccepted:
    case Say::kRefused:
      asker_.hear(now, from, m);
      break;
    case Say::kChanges:
      follower_.hear(now, from, m);
      break;
    default:
      if (keeper_) keeper_->hear(now, from, m);
  }
  go_on(now);
}

// What one part has to tell another, until none has.
void Node::go_on(Ms now) {
  for (bool more = true; more;) {
    more = false;
    for (const record::End& end : asker_.take_ends()) {
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
    for (record::Wish& wish : duties_.take_wishes()) {
      more = true;
      asker_.ask(now, std::move(wish));
    }
    for (record::Wish& wish : registry_.take_wishes()) {
      more = true;
      asker_.ask(now, std::move(wish));
    }
    for (duty::Event& event : duties_.take_events()) {
      more = true;
      merges_.hear(now, event);
      events_.push_back(std::move(event));
    }
  }
}

void Node::see(Ms now, const std::string& key, const record::Fact& fact) {
  duties_.saw(now, key, fact);
  // Keepers look after declarations; that others need not read every bulletin whole is all that it is for.
  if (!keeper_ || !key.starts_with(schema::Registry::kPrefix)) return;
  std::string why;
  if (const auto b = schema::read_bulletin(fact.value, why))
    lapses_.saw(now, key.substr(std::string_view(schema::Registry::kPrefix).size()), *b);
}

void Node::due(Ms now) {
  for (schema::Change& lapse : lapses_.due(now)) registry_.ask(now, std::move(lapse), now + kLapseMost);
  if (keeper_) keeper_->due(now);
  asker_.due(now);
  follower_.due(now);
  duties_.due(now);
  merges_.due(now);
  go_on(now);
}

Ms Node::next_due() const {
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

Node::Out Node::take() {
  Out out;
  if (keeper_) out.keeper = keeper_->take();
  out.sends = asker_.take_sends();
  for (record::Envelope& e : follower_.take_sends()) out.sends.push_back(std::move(e));
  return out;
}

}  // namespace firvalve::fleet
