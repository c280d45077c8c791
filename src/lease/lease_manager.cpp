#include "lease/lease_manager.h"

#include <algorithm>

#include "base/injected_bug.h"
#include "consensus/digest.h"

namespace firvalve::lease {

namespace {

// Fractions of the lease duration.
constexpr double kSafetyMarginFraction = 0.1;
constexpr double kRenewalFraction = 1.0 / 3;  // when to renew: two renewals may fail before the lease ends
constexpr double kProposalTimeoutFraction = 0.5;  // a proposal that takes longer is proposed again
// A process that is scheduled later than this counts as paused.
constexpr Duration kMinSafetyMargin = 50ms;

// The maximum election delay is kMaxElectionDelay, or a quarter of a lease if that is less. A candidate waits
// for the sum of these fractions of it: one scaled by its hash for the lease, one per lease that it holds,
// one per recent pause, and one during kStartupPeriod after its start.
constexpr Duration kMaxElectionDelay = 400ms;
constexpr double kHashDelayFraction = 0.4;
constexpr double kDelayFractionPerHeldLease = 0.02, kMaxHeldLeasesDelayFraction = 0.2;
constexpr double kDelayFractionPerPause = 0.1, kMaxPausesDelayFraction = 0.3;
constexpr double kStartupDelayFraction = 0.1;
constexpr Duration kStartupPeriod = 10000ms;
// Applied to the maximum delay if the holder itself released the lease: there is no expiry to wait for.
constexpr double kReleasedDelayFraction = 0.1;

// This many pauses of at least the safety margin within kPauseWindow make the gateway release its leases.
constexpr Duration kPauseWindow = 60000ms;
constexpr size_t kMaxRecentPauses = 3;

// Returns a number in [0, 1), uniformly distributed over pairs of lease and gateway.
double hash_to_unit_interval(const std::string& lease, const std::string& self) {
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

Duration safety_margin_of(Duration lease) {
  return std::max(kMinSafetyMargin, kSafetyMarginFraction * lease);
}
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
  uint64_t id = options_.incarnation + ++change_ids_generated_ * 0x9e3779b97f4a7c15ull;
  id = (id ^ (id >> 30)) * 0xbf58476d1ce4e5b9ull;
  id = (id ^ (id >> 27)) * 0x94d049bb133111ebull;
  id ^= id >> 31;
  return id == 0 ? next_change_id() : id;
}

// Requests of the application.

void LeaseManager::campaign(BootTime now, const std::string& lease) {
  const auto [it, is_new] = leases_.try_emplace(lease);
  it->second.is_campaigning = true;
  if (!is_new) return;
  it->second.observed_at = now;
  it->second.election_delay = election_delay(now, lease, false);
}

void LeaseManager::resign(BootTime now, const std::string& lease) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return;
  it->second.is_campaigning = false;
  if (!it->second.is_held() && it->second.pending == Pending::kNone) {
    leases_.erase(it);
    return;
  }
  mark_for_release(it->second, EndReason::kResigned);
  on_tick(now);
}

std::optional<uint64_t> LeaseManager::active_epoch(BootTime now, const std::string& lease) const {
  const auto it = leases_.find(lease);
  if (it == leases_.end() || !it->second.is_held() || it->second.is_releasing ||
      now >= it->second.valid_until)
    return {};
  return it->second.epoch;
}

bool LeaseManager::write_state(BootTime now, const std::string& lease, std::string state) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return false;
  Lease& entry = it->second;
  if (!entry.is_held() || now >= entry.valid_until || entry.is_release_due()) return false;
  if (entry.state_to_write || entry.pending == Pending::kWriteState) return false;
  entry.state_to_write = std::move(state);
  on_tick(now);
  return true;
}

void LeaseManager::set_in_use(BootTime now, const std::string& lease, bool is_in_use) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return;
  it->second.is_in_use = is_in_use;
  if (!is_in_use) on_tick(now);
}

const LeaseRecord* LeaseManager::record(const std::string& lease) const {
  const auto it = leases_.find(lease);
  return it == leases_.end() || !it->second.record ? nullptr : &*it->second.record;
}

void LeaseManager::on_pause(BootTime now, Duration length) {
  if (length < safety_margin_of(options_.duration)) return;
  recent_pauses_.push_back(now);
  if (recent_pauses_.size() < kMaxRecentPauses) return;
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
  return std::min(kMaxElectionDelay, options_.duration / 4) * (is_released ? kReleasedDelayFraction : 1);
}

Duration LeaseManager::election_delay(BootTime now, const std::string& name, bool is_released) const {
  double part = kHashDelayFraction * hash_to_unit_interval(name, options_.self);
  part +=
      std::min(kMaxPausesDelayFraction, kDelayFractionPerPause * static_cast<double>(recent_pauses_.size()));
  if (now < started_at_ + kStartupPeriod) part += kStartupDelayFraction;
  return part * max_election_delay(is_released);
}

std::optional<BootTime> LeaseManager::acquirable_at(const Lease& lease) const {
  if (!lease.is_campaigning || is_shutting_down_ || lease.is_unreadable || !(lease.is_known || is_synced_))
    return {};
  // Uses the current number of held leases: it may have changed since this lease was observed.
  const Duration delay_by_held_leases =
      std::min(kMaxHeldLeasesDelayFraction,
               kDelayFractionPerHeldLease * static_cast<double>(held_lease_count_)) *
      max_election_delay(lease.record && lease.record->is_released);
  const BootTime delay_end = lease.observed_at + lease.election_delay + delay_by_held_leases;
  if (!lease.record || lease.record->is_released || is_injected(InjectedBug::kSkipTakeoverWait))
    return delay_end;
  // The record is this process's own, and it knows that it no longer acts under it.
  if (lease.record->incarnation == options_.incarnation && lease.record->holder == options_.self)
    return delay_end;
  return delay_end + takeover_wait_of(std::max(lease.record->duration, options_.duration));
}

// Observed registers.

void LeaseManager::observe(BootTime now, const std::string& key, const consensus::Register& stored) {
  const auto it = leases_.find(key);
  if (it != leases_.end()) update_stored_register(now, key, it->second, stored, false);
}

void LeaseManager::on_synced(BootTime now) {
  if (is_synced_) return;
  is_synced_ = true;
  // For a lease that was never held the election delay starts here, so that the gateway that is synced first
  // does not acquire every lease.
  for (auto& [name, lease] : leases_)
    if (!lease.is_known) lease.observed_at = now;
  on_tick(now);
}

void LeaseManager::update_stored_register(BootTime now, const std::string& name, Lease& lease,
                                          const consensus::Register& stored, bool is_committed) {
  // Ignore a register that is already known, or older than the known one (from a replica that lags).
  if (lease.is_known && (stored.version < lease.stored.version || stored.change_id == lease.stored.change_id))
    return;
  if (lease.is_known && lease.is_committed && !is_committed && stored.version == lease.stored.version) return;
  // A report of one replica does not end a held lease: the register may never be committed. Renew now
  // instead; the result shows whether the lease is still held.
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
  lease.observed_at = now;
  lease.election_delay = election_delay(now, name, lease.record && lease.record->is_released);
  if (lease.is_held())
    mark_lost(name, lease, is_unreadable ? EndReason::kRecordUnreadable : EndReason::kSuperseded);
  events_.push_back({Event::Kind::kObserved, name, lease.record ? lease.record->epoch : 0});
}

void LeaseManager::mark_lost(const std::string& name, Lease& lease, EndReason reason) {
  events_.push_back({Event::Kind::kLost, name, lease.epoch, reason});
  if (lease.state_to_write || lease.pending == Pending::kWriteState) {
    // The write may still be committed; only the stored record shows whether it was.
    events_.push_back({Event::Kind::kStateWritten, name, lease.epoch});
    lease.state_to_write.reset();
  }
  held_lease_count_ -= lease.is_held();
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
  lease.proposal.deadline = now + kProposalTimeoutFraction * record.duration;
  proposals_.push_back(lease.proposal);
}

void LeaseManager::propose_as_holder(BootTime now, const std::string& name, Lease& lease) {
  LeaseRecord record = *lease.record;
  if (lease.state_to_write) {
    record.state = std::move(*lease.state_to_write);
    lease.state_to_write.reset();
    propose(now, name, lease, Pending::kWriteState, record);
  } else if (lease.is_release_due()) {
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
  const auto it = leases_.find(result.proposal.key);
  if (it == leases_.end()) return;
  Lease& lease = it->second;
  if (lease.proposal.id != result.proposal.id || lease.pending == Pending::kNone) return;
  switch (result.kind) {
    case consensus::ProposalResult::Kind::kUnknown:
      return on_unknown_result(now, it->first, lease, result);
    case consensus::ProposalResult::Kind::kNoQuorum:
      return on_no_quorum(now, lease);
    case consensus::ProposalResult::Kind::kCommitted:
      return on_committed(now, it, result);
    case consensus::ProposalResult::Kind::kConflict:
    case consensus::ProposalResult::Kind::kRead:
      return on_conflict(now, it, result);
  }
}

// The proposal may be committed. It is proposed again under the same id, and the lease still counts from the
// first proposal.
void LeaseManager::on_unknown_result(BootTime now, const std::string& name, Lease& lease,
                                     const consensus::ProposalResult& result) {
  if (result.is_out_of_space && lease.pending == Pending::kWriteState)
    return give_up_state_write(now, name, lease);
  lease.proposal.deadline = now + kProposalTimeoutFraction * options_.duration;
  proposals_.push_back(lease.proposal);
}

// Proposing the state again would not help. A minority may have accepted it, so it may still be committed;
// the next proposal then conflicts with it.
void LeaseManager::give_up_state_write(BootTime now, const std::string& name, Lease& lease) {
  lease.pending = Pending::kNone;
  if (lease.is_held()) {
    Event& event = events_.emplace_back(Event{Event::Kind::kStateWritten, name, lease.epoch});
    event.is_out_of_space = true;
  }
  on_tick(now);
}

// The proposal was not committed. on_tick() proposes what is due; a state write is queued again, because its
// caller must get a kStateWritten event.
void LeaseManager::on_no_quorum(BootTime now, Lease& lease) {
  const Pending pending = std::exchange(lease.pending, Pending::kNone);
  if (pending == Pending::kWriteState && lease.is_held() && !lease.state_to_write)
    lease.state_to_write = decode_lease_record(lease.proposal.value)->state;
  on_tick(now);
}

void LeaseManager::on_conflict(BootTime now, Leases::iterator it, const consensus::ProposalResult& result) {
  const std::string& name = it->first;
  Lease& lease = it->second;
  if (lease.is_held()) mark_lost(name, lease, EndReason::kSuperseded);  // also ends a pending write
  lease.pending = Pending::kNone;
  lease.is_releasing = false;
  update_stored_register(now, name, lease, result.current, true);
  if (!lease.is_campaigning && !lease.is_held()) {
    leases_.erase(it);
    return;
  }
  on_tick(now);
}

void LeaseManager::on_committed(BootTime now, Leases::iterator it, const consensus::ProposalResult& result) {
  const std::string& name = it->first;
  Lease& lease = it->second;
  const Pending pending = std::exchange(lease.pending, Pending::kNone);
  const bool is_current = result.current.change_id == result.proposal.id;
  if (is_current) {
    lease.is_known = lease.is_committed = true;
    lease.stored = result.current;
    lease.record = decode_lease_record(result.proposal.value);
    lease.observed_at = now;
  }
  if (pending == Pending::kRelease) return on_released(it);
  const BootTime counted_from = is_injected(InjectedBug::kLeaseFromResponse) ? now : lease.proposed_at;
  const BootTime valid_until = counted_from + options_.duration - safety_margin_of(options_.duration);
  if (!is_current) {
    // The record was committed, but another change has replaced it since: the lease is not held.
    if (lease.is_held()) mark_lost(name, lease, EndReason::kSuperseded);
    update_stored_register(now, name, lease, result.current, true);
  } else if (pending == Pending::kAcquire) {
    on_acquired(name, lease, now, valid_until);
  } else if (lease.is_held()) {
    on_renewed(name, lease, valid_until, pending == Pending::kWriteState);
  }
  on_tick(now);
}

void LeaseManager::on_released(Leases::iterator it) {
  Lease& lease = it->second;
  if (lease.is_held())
    events_.push_back({Event::Kind::kReleased, it->first, lease.epoch, lease.release_reason});
  held_lease_count_ -= lease.is_held();
  lease.epoch = 0;
  lease.is_releasing = false;
  lease.election_delay = kMaxElectionDelay;  // other candidates go first
  if (!lease.is_campaigning) leases_.erase(it);
}

void LeaseManager::on_acquired(const std::string& name, Lease& lease, BootTime now, BootTime valid_until) {
  // The proposal took longer than the lease: no action was taken under this epoch. This gateway can acquire
  // the lease again without a takeover wait, because the record is its own.
  if (now >= valid_until) return;
  held_lease_count_ += !lease.is_held();
  lease.epoch = lease.record->epoch;
  lease.valid_until = valid_until;
  lease.renew_at = lease.proposed_at + kRenewalFraction * options_.duration;
  events_.push_back({Event::Kind::kAcquired, name, lease.epoch, EndReason::kNone, lease.valid_until});
}

void LeaseManager::on_renewed(const std::string& name, Lease& lease, BootTime valid_until, bool wrote_state) {
  lease.valid_until = std::max(lease.valid_until, valid_until);
  lease.renew_at = lease.proposed_at + kRenewalFraction * options_.duration;
  events_.push_back({Event::Kind::kRenewed, name, lease.epoch, EndReason::kNone, lease.valid_until});
  if (wrote_state)
    events_.push_back({Event::Kind::kStateWritten, name, lease.epoch, EndReason::kNone, {}, true});
}

// Timers.

void LeaseManager::on_tick(BootTime now) {
  while (!recent_pauses_.empty() && now > recent_pauses_.front() + kPauseWindow) recent_pauses_.pop_front();
  for (auto it = leases_.begin(); it != leases_.end();) {
    const auto& [name, lease] = *it;
    if (lease.is_held() && now >= lease.valid_until) {
      mark_lost(name, it->second, EndReason::kExpired);
      it->second.observed_at = std::max(lease.observed_at, now);
    }
    const bool is_over = lease.pending == Pending::kNone && !lease.is_held() && !lease.is_campaigning;
    if (is_over) {
      it = leases_.erase(it);
      continue;
    }
    if (lease.pending == Pending::kNone) propose_next(now, name, it->second);
    ++it;
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
    else if (lease.state_to_write || lease.is_release_due())
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
    digest.add(name).add(lease.stored).add(lease.is_known).add(lease.is_campaigning).add(lease.observed_at);
    digest.add(lease.pending).add(lease.proposal.id).add(lease.proposed_at).add(lease.epoch);
    digest.add(lease.valid_until).add(lease.renew_at).add(lease.is_releasing);
    digest.add(lease.state_to_write.has_value());
  }
  return digest.text();
}

}  // namespace firvalve::lease
