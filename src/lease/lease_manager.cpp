#include "lease/lease_manager.h"

#include <algorithm>

#include "base/injected_bug.h"
#include "consensus/digest.h"

namespace firvalve::lease {

namespace {

constexpr double kSafetyMarginPart = 0.1;     // of a lease
constexpr Duration kMinSafetyMargin = 50ms;   // a process that is scheduled later than that counts as paused
constexpr double kRenewalPart = 1.0 / 3;      // of a lease: two renewals may fail before it ends
constexpr double kProposalTimeoutPart = 0.5;  // of a lease: a proposal that takes longer is made anew

// The election delay has a maximum of kMaxElectionDelay, or of a quarter of a lease where that is less. Of it
// a candidate waits these parts: by its hash for the lease, for each lease that it holds, for each of its
// recent pauses, and while it has just started.
constexpr Duration kMaxElectionDelay = 400ms;
constexpr double kDelayByHash = 0.4;
constexpr double kDelayPerHeldLease = 0.02, kMaxDelayByHeldLeases = 0.2;
constexpr double kDelayPerPause = 0.1, kMaxDelayByPauses = 0.3;
constexpr double kDelayAtStart = 0.1;
constexpr Duration kStartPeriod = 10000ms;
// Of all that, where the holder itself has released the lease and no doubt has to be waited out.
constexpr double kReleasedPart = 0.1;

constexpr Duration kPauseWindow = 60000ms;
constexpr size_t kMaxPauses =
    3;  // past the safety margin, within kPauseWindow; then it releases what it holds

// From 0 to 1, spread evenly over gateways and leases.
double unit_hash(const std::string& lease, const std::string& self) {
  uint64_t hash = 0xcbf29ce484222325ull;
  const auto mix = [&hash](const std::string& text) {
    for (const char c : text) hash = (hash ^ static_cast<uint8_t>(c)) * 0x100000001b3ull;
    hash ^= hash >> 29;
    hash *= 0xbf58476d1ce4e5b9ull;
    hash ^= hash >> 32;
  };
  mix(lease);
  mix(self);
  return static_cast<double>(hash >> 11) / static_cast<double>(uint64_t{1} << 53);
}

}  // namespace

Duration safety_margin_of(Duration lease) { return std::max(kMinSafetyMargin, kSafetyMarginPart * lease); }
Duration takeover_wait_of(Duration lease) { return lease * (1 + kMaxClockDrift) / (1 - kMaxClockDrift); }

std::string_view to_string(EndReason reason) {
  switch (reason) {
    case EndReason::kNone:
      return "none";
    case EndReason::kExpired:
      return "lease expired";
    case EndReason::kSuperseded:
      return "superseded by another holder";
    case EndReason::kRecordUnreadable:
      return "lease record unreadable";
    case EndReason::kResigned:
      return "no longer a candidate";
    case EndReason::kRepeatedPauses:
      return "repeated process pauses";
    case EndReason::kShutdown:
      return "shutdown";
  }
  return "unknown";
}

LeaseManager::LeaseManager(BootTime now, const LeaseOptions& options) : options_(options), started_at_(now) {}

consensus::ChangeId LeaseManager::next_change_id() {
  uint64_t id = options_.incarnation + ++change_ids_drawn_ * 0x9e3779b97f4a7c15ull;
  id = (id ^ (id >> 30)) * 0xbf58476d1ce4e5b9ull;
  id = (id ^ (id >> 27)) * 0x94d049bb133111ebull;
  id ^= id >> 31;
  return id == 0 ? next_change_id() : id;
}

// What the application asks for.

void LeaseManager::campaign(BootTime now, const std::string& lease) {
  const auto [at, is_new] = leases_.try_emplace(lease);
  at->second.is_wanted = true;
  if (!is_new) return;
  at->second.seen_at = now;
  at->second.election_delay = election_delay(now, lease, false);
}

void LeaseManager::resign(BootTime now, const std::string& lease) {
  const auto at = leases_.find(lease);
  if (at == leases_.end()) return;
  at->second.is_wanted = false;
  if (!at->second.is_held() && at->second.pending == Pending::kNone) {
    leases_.erase(at);
    return;
  }
  mark_for_release(at->second, EndReason::kResigned);
  on_tick(now);
}

std::optional<uint64_t> LeaseManager::active_epoch(BootTime now, const std::string& lease) const {
  const auto at = leases_.find(lease);
  if (at == leases_.end() || !at->second.is_held() || at->second.is_releasing ||
      now >= at->second.valid_until)
    return {};
  return at->second.epoch;
}

bool LeaseManager::write_state(BootTime now, const std::string& lease, std::string state) {
  const auto at = leases_.find(lease);
  if (at == leases_.end()) return false;
  Lease& held = at->second;
  if (!held.is_held() || now >= held.valid_until || held.is_to_be_released()) return false;
  if (held.next_state || held.pending == Pending::kWriteState) return false;
  held.next_state = std::move(state);
  on_tick(now);
  return true;
}

void LeaseManager::set_in_use(BootTime now, const std::string& lease, bool is_in_use) {
  const auto at = leases_.find(lease);
  if (at == leases_.end()) return;
  at->second.is_in_use = is_in_use;
  if (!is_in_use) on_tick(now);
}

const LeaseRecord* LeaseManager::record(const std::string& lease) const {
  const auto at = leases_.find(lease);
  return at == leases_.end() || !at->second.record ? nullptr : &*at->second.record;
}

void LeaseManager::on_pause(BootTime now, Duration length) {
  if (length < safety_margin_of(options_.duration)) return;
  recent_pauses_.push_back(now);
  if (recent_pauses_.size() < kMaxPauses) return;
  for (auto& [name, lease] : leases_)
    if (lease.is_held() && !lease.is_releasing) mark_for_release(lease, EndReason::kRepeatedPauses);
}

void LeaseManager::release_all(BootTime now) {
  is_shutting_down_ = true;
  for (auto& [name, lease] : leases_)
    if (lease.is_held() || lease.pending == Pending::kAcquire) mark_for_release(lease, EndReason::kShutdown);
  on_tick(now);
}

void LeaseManager::mark_for_release(Lease& lease, EndReason reason) {
  lease.is_releasing = true;
  lease.release_reason = reason;
}

bool LeaseManager::holds_any() const {
  return std::any_of(leases_.begin(), leases_.end(), [](const auto& each) {
    const Lease& lease = each.second;
    return lease.is_held() || lease.pending == Pending::kAcquire || lease.pending == Pending::kRelease;
  });
}

// The election delay.

Duration LeaseManager::max_election_delay(bool is_released) const {
  return std::min(kMaxElectionDelay, options_.duration / 4) * (is_released ? kReleasedPart : 1);
}

Duration LeaseManager::election_delay(BootTime now, const std::string& name, bool is_released) const {
  double part = kDelayByHash * unit_hash(name, options_.self);
  part += std::min(kMaxDelayByPauses, kDelayPerPause * static_cast<double>(recent_pauses_.size()));
  if (now < started_at_ + kStartPeriod) part += kDelayAtStart;
  return part * max_election_delay(is_released);
}

std::optional<BootTime> LeaseManager::acquirable_at(const Lease& lease) const {
  if (!lease.is_wanted || is_shutting_down_ || lease.is_unreadable || !(lease.is_known || is_synced_))
    return {};
  // What it holds counts as it is now: it may have acquired others since it saw this one.
  const Duration delay_by_held_leases =
      std::min(kMaxDelayByHeldLeases, kDelayPerHeldLease * static_cast<double>(held_count_)) *
      max_election_delay(lease.record && lease.record->is_released);
  const BootTime at = lease.seen_at + lease.election_delay + delay_by_held_leases;
  if (!lease.record || lease.record->is_released || is_injected(InjectedBug::kSkipTakeoverWait)) return at;
  // Its own lease, of which it knows that it acts under it no more.
  if (lease.record->incarnation == options_.incarnation && lease.record->holder == options_.self) return at;
  return at + takeover_wait_of(std::max(lease.record->duration, options_.duration));
}

// What is stored.

void LeaseManager::observe(BootTime now, const std::string& key, const consensus::Register& stored) {
  const auto at = leases_.find(key);
  if (at != leases_.end()) take_stored(now, key, at->second, stored, false);
}

void LeaseManager::on_synced(BootTime now) {
  if (is_synced_) return;
  is_synced_ = true;
  // For a lease that nobody has held yet the election delay begins here. Guards against one that is synced
  // first and acquires all.
  for (auto& [name, lease] : leases_)
    if (!lease.is_known) lease.seen_at = now;
  on_tick(now);
}

void LeaseManager::take_stored(BootTime now, const std::string& name, Lease& lease,
                               const consensus::Register& stored, bool is_committed) {
  // An older one than is known, from a replica that lags, or the same: nothing is learned from it.
  if (lease.is_known && (stored.version < lease.stored.version || stored.change_id == lease.stored.change_id))
    return;
  if (lease.is_known && lease.is_committed && !is_committed && stored.version == lease.stored.version) return;
  // One replica alone does not end a lease that is held: what it shows may never be committed. A renewal
  // tells.
  if (lease.is_held() && !is_committed) {
    lease.renew_at = std::min(lease.renew_at, now);
    return;
  }
  lease.is_known = true;
  lease.is_committed = is_committed;
  lease.stored = stored;
  lease.record = stored.version > 0 ? decode_lease_record(stored.value) : std::nullopt;
  const bool is_unreadable = stored.version > 0 && !lease.record;
  if (is_unreadable && !lease.is_unreadable) events_.push_back({Event::Kind::kUnreadable, name});
  lease.is_unreadable = is_unreadable;
  lease.seen_at = now;
  lease.election_delay = election_delay(now, name, lease.record && lease.record->is_released);
  if (lease.is_held())
    lose(name, lease, is_unreadable ? EndReason::kRecordUnreadable : EndReason::kSuperseded);
  events_.push_back({Event::Kind::kObserved, name, lease.record ? lease.record->epoch : 0});
}

void LeaseManager::lose(const std::string& name, Lease& lease, EndReason reason) {
  events_.push_back({Event::Kind::kLost, name, lease.epoch, reason});
  if (lease.next_state || lease.pending == Pending::kWriteState) {
    // Whether it is committed shows in what is stored alone.
    events_.push_back({Event::Kind::kStateWritten, name, lease.epoch});
    lease.next_state.reset();
  }
  held_count_ -= lease.is_held();
  lease.epoch = 0;
  lease.is_releasing = false;
}

// Proposals and their results.

void LeaseManager::propose(BootTime now, const std::string& name, Lease& lease, Pending pending,
                           const LeaseRecord& record) {
  lease.pending = pending;
  lease.proposed_at = now;
  lease.proposal.id = next_change_id();
  lease.proposal.key = name;
  lease.proposal.expected_change = lease.stored.change_id;
  lease.proposal.value = encode(record);
  lease.proposal.is_urgent = pending != Pending::kRenew;
  lease.proposal.deadline = now + kProposalTimeoutPart * record.duration;
  proposals_.push_back(lease.proposal);
}

void LeaseManager::propose_as_holder(BootTime now, const std::string& name, Lease& lease) {
  LeaseRecord record = *lease.record;
  if (lease.next_state) {
    record.state = std::move(*lease.next_state);
    lease.next_state.reset();
    propose(now, name, lease, Pending::kWriteState, record);
  } else if (lease.is_to_be_released()) {
    record.is_released = true;
    propose(now, name, lease, Pending::kRelease, record);
  } else if (now >= lease.renew_at) {
    propose(now, name, lease, Pending::kRenew, record);
  }
}

void LeaseManager::propose_acquisition(BootTime now, const std::string& name, Lease& lease) {
  const std::optional<BootTime> acquirable = acquirable_at(lease);
  if (!acquirable || now < *acquirable) return;
  LeaseRecord record = lease.record.value_or(LeaseRecord());
  ++record.epoch;
  record.holder = options_.self;
  record.incarnation = options_.incarnation;
  record.duration = options_.duration;
  record.is_released = false;
  propose(now, name, lease, Pending::kAcquire, record);
}

void LeaseManager::on_result(BootTime now, const consensus::ProposalResult& result) {
  const auto at = leases_.find(result.proposal.key);
  if (at == leases_.end()) return;
  Lease& lease = at->second;
  if (lease.proposal.id != result.proposal.id || lease.pending == Pending::kNone) return;
  switch (result.kind) {
    case consensus::ProposalResult::Kind::kUnknown:
      return on_unknown(now, lease);
    case consensus::ProposalResult::Kind::kNoQuorum:
      return on_no_quorum(now, lease);
    case consensus::ProposalResult::Kind::kCommitted:
      return on_committed(now, at, result);
    case consensus::ProposalResult::Kind::kConflict:
    case consensus::ProposalResult::Kind::kRead:
      return on_conflict(now, at, result);
  }
}

// It may be committed. Proposed again under its id, it still counts from when it was proposed first.
void LeaseManager::on_unknown(BootTime now, Lease& lease) {
  lease.proposal.deadline = now + kProposalTimeoutPart * options_.duration;
  proposals_.push_back(lease.proposal);
}

// It was not committed and is proposed anew, a state, too: whoever asked for its writing is owed an end.
void LeaseManager::on_no_quorum(BootTime now, Lease& lease) {
  const Pending pending = std::exchange(lease.pending, Pending::kNone);
  if (pending == Pending::kWriteState && lease.is_held() && !lease.next_state)
    lease.next_state = decode_lease_record(lease.proposal.value)->state;
  on_tick(now);
}

void LeaseManager::on_conflict(BootTime now, Leases::iterator at, const consensus::ProposalResult& result) {
  const std::string& name = at->first;
  Lease& lease = at->second;
  if (lease.is_held()) lose(name, lease, EndReason::kSuperseded);  // also ends a pending write
  lease.pending = Pending::kNone;
  lease.is_releasing = false;
  take_stored(now, name, lease, result.current, true);
  if (!lease.is_wanted && !lease.is_held()) {
    leases_.erase(at);
    return;
  }
  on_tick(now);
}

void LeaseManager::on_committed(BootTime now, Leases::iterator at, const consensus::ProposalResult& result) {
  const std::string& name = at->first;
  Lease& lease = at->second;
  const Pending pending = std::exchange(lease.pending, Pending::kNone);
  const bool is_current = result.current.change_id == result.proposal.id;
  if (is_current) {
    lease.is_known = lease.is_committed = true;
    lease.stored = result.current;
    lease.record = decode_lease_record(result.proposal.value);
    lease.seen_at = now;
  }
  if (pending == Pending::kRelease) return on_released(at);
  const BootTime counted_from = is_injected(InjectedBug::kLeaseFromResponse) ? now : lease.proposed_at;
  const BootTime valid_until = counted_from + options_.duration - safety_margin_of(options_.duration);
  if (!is_current) {
    // It was committed, and another has changed it since: nothing of it is left to hold.
    if (lease.is_held()) lose(name, lease, EndReason::kSuperseded);
    take_stored(now, name, lease, result.current, true);
  } else if (pending == Pending::kAcquire) {
    on_acquired(name, lease, now, valid_until);
  } else if (lease.is_held()) {
    on_renewed(name, lease, valid_until, pending == Pending::kWriteState);
  }
  on_tick(now);
}

void LeaseManager::on_released(Leases::iterator at) {
  Lease& lease = at->second;
  if (lease.is_held())
    events_.push_back({Event::Kind::kReleased, at->first, lease.epoch, lease.release_reason});
  held_count_ -= lease.is_held();
  lease.epoch = 0;
  lease.is_releasing = false;
  lease.election_delay = kMaxElectionDelay;  // other candidates go first
  if (!lease.is_wanted) leases_.erase(at);
}

void LeaseManager::on_acquired(const std::string& name, Lease& lease, BootTime now, BootTime valid_until) {
  // It took longer than the lease. Nobody acted under it, and the next acquisition is this gateway's again.
  if (now >= valid_until) return;
  held_count_ += !lease.is_held();
  lease.epoch = lease.record->epoch;
  lease.valid_until = valid_until;
  lease.renew_at = lease.proposed_at + kRenewalPart * options_.duration;
  events_.push_back({Event::Kind::kAcquired, name, lease.epoch, EndReason::kNone, lease.valid_until});
}

void LeaseManager::on_renewed(const std::string& name, Lease& lease, BootTime valid_until, bool wrote_state) {
  lease.valid_until = std::max(lease.valid_until, valid_until);
  lease.renew_at = lease.proposed_at + kRenewalPart * options_.duration;
  events_.push_back({Event::Kind::kRenewed, name, lease.epoch, EndReason::kNone, lease.valid_until});
  if (wrote_state)
    events_.push_back({Event::Kind::kStateWritten, name, lease.epoch, EndReason::kNone, {}, true});
}

// Time.

void LeaseManager::on_tick(BootTime now) {
  while (!recent_pauses_.empty() && now > recent_pauses_.front() + kPauseWindow) recent_pauses_.pop_front();
  for (auto at = leases_.begin(); at != leases_.end();) {
    const auto& [name, lease] = *at;
    if (lease.is_held() && now >= lease.valid_until) {
      lose(name, at->second, EndReason::kExpired);
      at->second.seen_at = std::max(lease.seen_at, now);
    }
    const bool is_over = lease.pending == Pending::kNone && !lease.is_held() && !lease.is_wanted;
    if (is_over) {
      at = leases_.erase(at);
      continue;
    }
    if (lease.pending == Pending::kNone) propose_next(now, name, at->second);
    ++at;
  }
}

void LeaseManager::propose_next(BootTime now, const std::string& name, Lease& lease) {
  if (lease.is_held())
    propose_as_holder(now, name, lease);
  else
    propose_acquisition(now, name, lease);
}

std::optional<BootTime> LeaseManager::next_deadline() const {
  std::optional<BootTime> next;
  for (const auto& [name, lease] : leases_) {
    if (lease.is_held()) next = earlier_of(next, std::optional(lease.valid_until));
    if (lease.pending != Pending::kNone) continue;
    if (!lease.is_held())
      next = earlier_of(next, acquirable_at(lease));
    else if (lease.next_state || lease.is_to_be_released())
      next = earlier_of(next, std::optional(kImmediately));
    else
      next = earlier_of(next, std::optional(lease.renew_at));
  }
  return next;
}

std::string LeaseManager::digest() const {
  consensus::Digest digest;
  digest.add(is_synced_).add(is_shutting_down_);
  for (const auto& [name, lease] : leases_) {
    digest.add(name).add(lease.stored).add(lease.is_known).add(lease.is_wanted).add(lease.seen_at);
    digest.add(lease.pending).add(lease.proposal.id).add(lease.proposed_at).add(lease.epoch);
    digest.add(lease.valid_until).add(lease.renew_at).add(lease.is_releasing);
    digest.add(lease.next_state.has_value());
  }
  return digest.text();
}

}  // namespace firvalve::lease
