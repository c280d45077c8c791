#include "consensus/acceptor.h"

#include <algorithm>

#include "base/injected_bug.h"
#include "consensus/digest.h"

namespace firvalve::consensus {

namespace {

// An incarnation has a counter in its high bits, so that later incarnations are greater, and random low bits,
// so that the first incarnations of two starts without storage differ.
constexpr int kIncarnationRandomBits = 40;
constexpr Incarnation random_part(uint64_t random) {
  return random & ((Incarnation{1} << kIncarnationRandomBits) - 1);
}
constexpr Incarnation next_incarnation(Incarnation incarnation, uint64_t random) {
  return (((incarnation >> kIncarnationRandomBits) + 1) << kIncarnationRandomBits) | random_part(random);
}

bool carries_incarnations(MessageType type) {
  return type == MessageType::kPromise || type == MessageType::kAccepted || type == MessageType::kMetadata ||
         type == MessageType::kState;
}

}  // namespace

bool Register::includes_change(ChangeId id) const {
  return change_id == id ||
         std::find(earlier_changes.begin(), earlier_changes.end(), id) != earlier_changes.end();
}

Acceptor::Acceptor(const AcceptorOptions& options, uint64_t random)
    : options_(options), peers_(options.replica_count) {
  metadata_.incarnation = random_part(random) | 1;
  metadata_.known_incarnations.assign(options.replica_count, 0);
  metadata_.bootstrap_incarnations.assign(options.replica_count, 0);
  metadata_.known_incarnations[options.self] = metadata_.incarnation;
  has_new_metadata_ = true;
  if (options.replica_count == 1 || is_injected(InjectedBug::kForgetfulAcceptor)) metadata_.is_voting = true;
}

// A replica that was stopped during recovery recovers from the start. Other replicas may have recorded its
// incarnation, so start_recovery() takes the next one.
Acceptor::Acceptor(const AcceptorOptions& options, ReplicaMetadata metadata,
                   std::map<std::string, AcceptorSlot> slots)
    : options_(options),
      metadata_(std::move(metadata)),
      slots_(std::move(slots)),
      peers_(options.replica_count) {
  metadata_.known_incarnations.resize(options.replica_count);
  metadata_.bootstrap_incarnations.resize(options.replica_count);
  for (const auto& [key, slot] : slots_) {
    value_bytes_ += slot.accepted.value.size();
    if (slot.accepted.version > 0) assign_newest_position(key);
  }
}

void Acceptor::handle(BootTime now, PeerId from, const Message& message) {
  switch (message.type) {
    case MessageType::kPrepare:
      return handle_prepare(from, message);
    case MessageType::kAccept:
      return handle_accept(now, from, message);
    case MessageType::kWatch:
      return handle_watch(now, from, message);
    case MessageType::kMetadataRequest:
      return handle_metadata_request(from, message);
    case MessageType::kMetadata:
      return handle_metadata(from, message);
    case MessageType::kFetchState:
      return handle_fetch_state(from, message);
    case MessageType::kState:
      return handle_state(from, message);
    case MessageType::kPromise:
    case MessageType::kAccepted:
    case MessageType::kRejected:
    case MessageType::kChanges:
      return;  // responses for proposers and watchers, not for acceptors
  }
}

// Prepare and accept.

void Acceptor::handle_prepare(PeerId from, const Message& message) {
  if (!metadata_.is_voting) return;
  AcceptorSlot* const slot = find_or_add_slot(message.key);
  if (!slot || message.ballot < slot->promised_ballot) return reject(from, message, slot, !slot);
  if (slot->promised_ballot != message.ballot) unwritten_keys_.insert(message.key);
  slot->promised_ballot = message.ballot;
  Message promise = make_response(message, MessageType::kPromise);
  promise.ballot = message.ballot;
  promise.accepted_ballot = slot->accepted_ballot;
  promise.register_state = slot->accepted;
  send(from, std::move(promise));
}

void Acceptor::handle_accept(BootTime now, PeerId from, const Message& message) {
  if (!metadata_.is_voting) return;
  AcceptorSlot* const slot = find_or_add_slot(message.key);
  if (!slot) return reject(from, message, slot, true);
  const bool is_too_large = exceeds_limits(*slot, message.register_state);
  const bool breaks_promise =
      message.ballot < slot->promised_ballot && !is_injected(InjectedBug::kSkipPromiseCheck);
  if (is_too_large || breaks_promise) return reject(from, message, slot, is_too_large);
  // A duplicate request is answered again but changes nothing.
  if (slot->accepted_ballot != message.ballot) store_accepted(now, message.key, *slot, message);
  Message accepted = make_response(message, MessageType::kAccepted);
  accepted.ballot = message.ballot;
  send(from, std::move(accepted));
}

void Acceptor::reject(PeerId to, const Message& request, const AcceptorSlot* slot, bool is_out_of_space) {
  Message rejected = make_response(request, MessageType::kRejected);
  if (slot) rejected.ballot = slot->promised_ballot;
  rejected.is_out_of_space = is_out_of_space;
  send(to, std::move(rejected));
}

Message Acceptor::make_response(const Message& request, MessageType type) const {
  Message response;
  response.type = type;
  response.request_id = request.request_id;
  response.incarnation = metadata_.incarnation;
  if (carries_incarnations(type)) response.known_incarnations = metadata_.known_incarnations;
  return response;
}

AcceptorSlot* Acceptor::find_or_add_slot(const std::string& key) {
  const auto it = slots_.find(key);
  if (it != slots_.end()) return &it->second;
  if (slots_.size() >= options_.max_registers || key.size() > kMaxKeyBytes) return nullptr;
  return &slots_[key];
}

bool Acceptor::exceeds_limits(const AcceptorSlot& slot, const Register& proposed) const {
  const size_t before = slot.accepted.value.size(), after = proposed.value.size();
  const bool grows_past_limit = after > before && !has_space_for(after - before);
  return grows_past_limit || after > kMaxValueBytes || proposed.earlier_changes.size() > kMaxEarlierChanges;
}

bool Acceptor::has_space_for(size_t growth_bytes) const {
  const double share = growth_bytes > kMaxSmallGrowthBytes ? kMaxLargeGrowthShare : 1;
  return static_cast<double>(value_bytes_ + growth_bytes) <=
         share * static_cast<double>(options_.max_value_bytes);
}

void Acceptor::store_accepted(BootTime now, const std::string& key, AcceptorSlot& slot,
                              const Message& accept) {
  const bool is_new_change = slot.accepted.change_id != accept.register_state.change_id;
  value_bytes_ += accept.register_state.value.size() - slot.accepted.value.size();
  slot.promised_ballot = slot.accepted_ballot = accept.ballot;
  slot.accepted = accept.register_state;
  unwritten_keys_.insert(key);
  if (!is_new_change) return;
  assign_newest_position(key);
  has_urgent_change_ |= accept.register_state.is_urgent;
  if (!unnotified_since_) unnotified_since_ = now;
}

void Acceptor::assign_newest_position(const std::string& key) {
  WatchPosition& position = position_by_key_[key];
  if (position != 0) changes_by_position_.erase(position);
  position = ++last_position_;
  changes_by_position_[position] = key;
}

// Watch requests.

void Acceptor::handle_watch(BootTime now, PeerId from, const Message& message) {
  if (!metadata_.is_voting) return;
  const bool is_known = message.incarnation == metadata_.incarnation;
  const Watcher watcher{message.request_id, is_known ? message.since : 0, now};
  if (!is_known || has_changes_after(watcher.since)) return send_changes(from, watcher);
  watchers_[from] = watcher;
}

bool Acceptor::page_has_space(const Message& page, size_t value_bytes) const {
  return page.entries.size() < options_.max_page_entries && value_bytes < options_.max_page_bytes;
}

void Acceptor::send_changes(PeerId to, const Watcher& watcher) {
  Message changes;
  changes.type = MessageType::kChanges;
  changes.request_id = watcher.request_id;
  changes.incarnation = metadata_.incarnation;
  changes.since = watcher.since;
  auto it = changes_by_position_.upper_bound(watcher.since);
  for (size_t bytes = 0; it != changes_by_position_.end() && page_has_space(changes, bytes); ++it) {
    const AcceptorSlot& slot = slots_[it->second];
    bytes += slot.accepted.value.size();
    changes.entries.emplace_back(it->second, slot);
    changes.since = it->first;
  }
  changes.has_more = it != changes_by_position_.end();
  send(to, std::move(changes));
}

void Acceptor::notify_watchers(BootTime now) {
  const bool is_due =
      has_urgent_change_ || (unnotified_since_ && now >= *unnotified_since_ + options_.notify_interval);
  if (is_due) {
    has_urgent_change_ = false;
    unnotified_since_.reset();
  }
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    const bool has_news = is_due && has_changes_after(it->second.since);
    if (!has_news && now < it->second.requested_at + options_.watch_timeout) {
      ++it;
      continue;
    }
    send_changes(it->first, it->second);
    it = watchers_.erase(it);
  }
}

// Bootstrap and recovery.

Message Acceptor::make_metadata_response(const Message& request) const {
  Message response = make_response(request, MessageType::kMetadata);
  response.is_voting = metadata_.is_voting;
  response.bootstrap_incarnations = metadata_.bootstrap_incarnations;
  return response;
}

void Acceptor::handle_metadata_request(PeerId from, const Message& message) {
  if (is_other_replica(from)) send(from, make_metadata_response(message));
}

void Acceptor::handle_metadata(PeerId from, const Message& message) {
  if (!is_other_replica(from) || metadata_.is_voting || message.request_id != metadata_.incarnation ||
      message.known_incarnations.size() != options_.replica_count ||
      message.bootstrap_incarnations.size() != options_.replica_count)
    return;
  PeerState& peer = peers_[from];
  const bool is_same_incarnation = peer.has_answered && peer.incarnation == message.incarnation;
  peer.has_answered = true;
  peer.is_voting = message.is_voting;
  peer.incarnation = message.incarnation;
  peer.known_incarnations = message.known_incarnations;
  peer.bootstrap_incarnations = message.bootstrap_incarnations;
  if (!is_same_incarnation) {
    peer.is_fetched = false;
    peer.last_fetched_key.clear();
  }
  const bool was_bootstrapped_with =
      peer.is_voting && peer.bootstrap_incarnations[options_.self] == metadata_.incarnation;
  if (was_bootstrapped_with && !is_recovering_)
    return start_voting(peer.known_incarnations, peer.bootstrap_incarnations);
  uint32_t empty_replicas = 0, voting_replicas = 0;
  for (PeerId replica = 0; replica < options_.replica_count; ++replica) {
    if (replica == options_.self || !peers_[replica].has_answered) continue;
    peers_[replica].is_voting ? ++voting_replicas : ++empty_replicas;
  }
  if (empty_replicas + 1 == options_.replica_count && !is_recovering_) {
    std::vector<Incarnation> incarnations(options_.replica_count);
    for (PeerId replica = 0; replica < options_.replica_count; ++replica)
      incarnations[replica] = replica == options_.self ? metadata_.incarnation : peers_[replica].incarnation;
    return start_voting(incarnations, incarnations);
  }
  if (voting_replicas < quorum_size(options_.replica_count)) return;
  if (!is_recovering_ || peer.known_incarnations[options_.self] > metadata_.incarnation) start_recovery();
}

void Acceptor::start_voting(std::vector<Incarnation> known, std::vector<Incarnation> bootstrap) {
  metadata_.is_voting = true;
  metadata_.known_incarnations = std::move(known);
  metadata_.known_incarnations[options_.self] = metadata_.incarnation;
  metadata_.bootstrap_incarnations = std::move(bootstrap);
  has_new_metadata_ = true;
  metadata_request_due_.reset();
}

void Acceptor::request_metadata(BootTime now) {
  if (metadata_.is_voting || (metadata_request_due_ && now < *metadata_request_due_)) return;
  metadata_request_due_ = now + options_.metadata_retry_interval;
  for (PeerId replica = 0; replica < options_.replica_count; ++replica) {
    if (replica == options_.self) continue;
    Message request;
    request.type = MessageType::kMetadataRequest;
    request.request_id = metadata_.incarnation;
    send(replica, std::move(request));
    if (is_recovering_ && peers_[replica].is_voting && !peers_[replica].is_fetched) fetch_state(replica);
  }
}

// Takes an incarnation greater than every one that a voting replica has recorded for this replica, and starts
// the fetch again: state fetched under the previous incarnation does not count.
void Acceptor::start_recovery() {
  Incarnation highest = metadata_.incarnation;
  for (const PeerState& peer : peers_)
    if (peer.has_answered && peer.is_voting)
      highest = std::max(highest, peer.known_incarnations[options_.self]);
  is_recovering_ = true;
  metadata_.incarnation = next_incarnation(highest, metadata_.incarnation);
  metadata_.known_incarnations[options_.self] = metadata_.incarnation;
  has_new_metadata_ = true;
  for (PeerId replica = 0; replica < options_.replica_count; ++replica) {
    PeerState& peer = peers_[replica];
    peer.is_fetched = false;
    peer.last_fetched_key.clear();
    if (peer.has_answered && peer.is_voting) fetch_state(replica);
  }
}

void Acceptor::fetch_state(PeerId from) {
  Message request;
  request.type = MessageType::kFetchState;
  request.request_id = metadata_.incarnation;
  request.key = peers_[from].last_fetched_key;
  send(from, std::move(request));
}

void Acceptor::handle_fetch_state(PeerId from, const Message& message) {
  if (!metadata_.is_voting || !is_other_replica(from)) return;
  const Incarnation incarnation = message.request_id;
  // A later incarnation of the sender is already recorded here. The response makes the sender take an even
  // later one.
  if (incarnation < metadata_.known_incarnations[from]) return send(from, make_metadata_response(message));
  record_incarnation(from, incarnation);
  Message state = make_response(message, MessageType::kState);
  auto it = message.key.empty() ? slots_.begin() : slots_.upper_bound(message.key);
  for (size_t bytes = 0; it != slots_.end() && page_has_space(state, bytes); ++it) {
    bytes += it->second.accepted.value.size();
    state.entries.emplace_back(it->first, it->second);
  }
  state.has_more = it != slots_.end();
  send(from, std::move(state));
}

void Acceptor::record_incarnation(PeerId replica, Incarnation incarnation) {
  if (metadata_.known_incarnations[replica] >= incarnation) return;
  metadata_.known_incarnations[replica] = incarnation;
  has_new_metadata_ = true;
}

void Acceptor::handle_state(PeerId from, const Message& message) {
  if (!is_other_replica(from)) return;
  PeerState& peer = peers_[from];
  if (metadata_.is_voting || !is_recovering_ || message.request_id != metadata_.incarnation ||
      message.known_incarnations.size() != options_.replica_count || peer.is_fetched)
    return;
  // The peer has lost its storage since it sent its metadata. Pages of two incarnations are not one state.
  if (message.incarnation != peer.incarnation) return;
  // A page that was requested twice may arrive twice. std::max keeps a late duplicate from moving
  // last_fetched_key backwards.
  for (const auto& [key, fetched] : message.entries) {
    merge_slot(key, fetched);
    peer.last_fetched_key = std::max(peer.last_fetched_key, key);
  }
  for (PeerId replica = 0; replica < options_.replica_count; ++replica)
    if (replica != options_.self) record_incarnation(replica, message.known_incarnations[replica]);
  if (message.has_more) return fetch_state(from);
  peer.is_fetched = true;
  const auto fetched_replicas =
      std::count_if(peers_.begin(), peers_.end(), [](const PeerState& each) { return each.is_fetched; });
  if (fetched_replicas >= quorum_size(options_.replica_count)) finish_recovery(peer.bootstrap_incarnations);
}

void Acceptor::merge_slot(const std::string& key, const AcceptorSlot& fetched) {
  AcceptorSlot& local = slots_[key];
  local.promised_ballot = std::max(local.promised_ballot, fetched.promised_ballot);
  if (fetched.accepted_ballot <= local.accepted_ballot) return;
  value_bytes_ += fetched.accepted.value.size() - local.accepted.value.size();
  local.accepted_ballot = fetched.accepted_ballot;
  local.accepted = fetched.accepted;
}

void Acceptor::finish_recovery(std::vector<Incarnation> bootstrap) {
  for (const auto& [key, slot] : slots_) {
    unwritten_keys_.insert(key);
    if (slot.accepted.version > 0) assign_newest_position(key);
  }
  is_recovering_ = false;
  start_voting(metadata_.known_incarnations, std::move(bootstrap));
}

// Timers and output.

void Acceptor::on_tick(BootTime now) {
  request_metadata(now);
  notify_watchers(now);
}

std::optional<BootTime> Acceptor::next_deadline() const {
  std::optional<BootTime> next;
  if (!metadata_.is_voting) next = metadata_request_due_.value_or(kImmediately);
  if (watchers_.empty()) return next;
  for (const auto& [peer, watcher] : watchers_)
    next = earlier_of(next, std::optional(watcher.requested_at + options_.watch_timeout));
  if (has_urgent_change_) next = earlier_of(next, std::optional(kImmediately));
  if (unnotified_since_)
    next = earlier_of(next, std::optional(*unnotified_since_ + options_.notify_interval));
  return next;
}

AcceptorOutput Acceptor::take_output() {
  AcceptorOutput output;
  if (has_new_metadata_) output.metadata = metadata_;
  has_new_metadata_ = false;
  for (const std::string& key : unwritten_keys_) output.writes.emplace_back(key, slots_[key]);
  unwritten_keys_.clear();
  output.messages.swap(messages_);
  return output;
}

void Acceptor::on_write_failed(const AcceptorOutput& output) {
  has_new_metadata_ |= output.metadata.has_value();
  for (const auto& [key, slot] : output.writes) unwritten_keys_.insert(key);
}

std::string Acceptor::digest() const {
  Digest digest;
  digest.add(metadata_);
  for (const auto& [key, slot] : slots_) digest.add(key).add(slot);
  digest.add(is_recovering_);
  if (metadata_.is_voting) return digest.text();
  for (const PeerState& peer : peers_)
    digest.add(peer.has_answered)
        .add(peer.is_voting)
        .add(peer.is_fetched)
        .add(peer.incarnation)
        .add(peer.known_incarnations)
        .add(peer.bootstrap_incarnations)
        .add(peer.last_fetched_key);
  return digest.text();
}

}  // namespace firvalve::consensus
