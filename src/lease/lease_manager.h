// LeaseManager: named leases, each held by at most one gateway at a time. It decides when this gateway
// acquires a lease, until when it may act under it, and when it releases it. It does no I/O, reads no clock
// and starts no threads.
//
// Safety depends only on clock rates that differ by at most kMaxClockDrift:
//  - A holder counts its lease from before it proposed the record, and stops acting a safety margin before
//    the lease ends.
//  - A candidate waits, from when it observed the record it builds on, for that record's whole lease as the
//    slowest allowed clock counts it. Its own record is committed only if the holder has not renewed since. A
//    record observed late, at any replica, can only make the candidate wait longer.
//  - Each acquisition has an epoch greater than all earlier ones: the fencing token. The receiver of a
//    request rejects an older epoch (fence.h). An action whose receiver cannot check the token, such as a
//    load at an engine, is recorded as started in the lease's state before it starts, and the next holder
//    reads it there.
//
// Each candidate waits for its election delay before it acquires a free lease. The delay depends on a hash of
// the gateway and the lease, the number of leases that the gateway holds, its recent pauses and its uptime.
// So the leases of a failed gateway are spread over many others, a gateway that is often paused comes last,
// and candidates need not know each other. A holder keeps a lease until it loses it, shuts down or is paused
// too often. Leases are not rebalanced: none moves because another gateway seems slightly better suited.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/proposer.h"
#include "lease/lease_record.h"

namespace firvalve::lease {

// Settings of a lease manager.
struct LeaseOptions {
  std::string self;             // address at which peers reach this gateway
  Incarnation incarnation = 1;  // of this process: drawn at its start
  Duration duration = 3000ms;   // of a lease
};

// Clock rates differ by at most this fraction: more than any quartz clock drifts unless it is broken.
constexpr double kMaxClockDrift = 0.01;
// Time before the end of a lease in which the holder starts no action, so that one already on its way
// completes within the lease.
Duration safety_margin_of(Duration lease);
// How long a candidate waits, on its own clock, until another gateway's lease of this duration has expired on
// that gateway's clock.
Duration takeover_wait_of(Duration lease);

// Why a gateway stopped holding a lease.
enum class EndReason : uint8_t {
  kNone,
  kExpired,           // not renewed in time
  kSuperseded,        // another record was committed
  kRecordUnreadable,  // the committed value is not a valid lease record
  kResigned,          // resign() was called
  kRepeatedPauses,    // the process was paused too often
  kShutdown,          // the process is shutting down
};
std::string_view to_string(EndReason reason);  // for logs and operators

// A change of a lease, reported to the application. Each kind lists the fields that it sets.
struct Event {
  enum class Kind : uint8_t {
    kAcquired,      // epoch, valid_until
    kRenewed,       // epoch, valid_until
    kReleased,      // epoch, reason: this process gave up the lease
    kLost,          // epoch, reason
    kStateWritten,  // epoch, is_committed, is_out_of_space: a write_state() has ended
    kObserved,      // epoch: a changed record was observed
    kUnreadable,    // the stored value is not a valid lease record
  };
  Kind kind = Kind::kAcquired;
  std::string lease;
  uint64_t epoch = 0;
  EndReason reason = EndReason::kNone;
  std::optional<BootTime> valid_until{};  // the holder may act until then, unless a later event ends that
  bool is_committed = false;
  bool is_out_of_space = false;  // the replicas have no space for the state; the lease is still held
};

class LeaseManager {
 public:
  LeaseManager(BootTime now, const LeaseOptions& options);

  // Makes this gateway a candidate: it acquires the lease when the lease is free.
  void campaign(BootTime now, const std::string& lease);
  // Ends the candidacy, and releases the lease if this gateway holds it.
  void resign(BootTime now, const std::string& lease);
  bool is_candidate_for(const std::string& lease) const { return leases_.count(lease) > 0; }

  // Returns the fencing token under which this gateway may act at `now`, or nothing if it may not. Call it
  // with the current time immediately before each action.
  std::optional<uint64_t> active_epoch(BootTime now, const std::string& lease) const;
  // Starts to replace the application state in the record under the current epoch; a kStateWritten event
  // reports the result. Returns false if this gateway may not act now or another such write is in progress.
  bool write_state(BootTime now, const std::string& lease, std::string state);
  // A lease in use is renewed and not released; a due release happens when the use ends.
  void set_in_use(BootTime now, const std::string& lease, bool is_in_use);
  // Returns the last record observed; null: none, or not readable.
  const LeaseRecord* record(const std::string& lease) const;

  // Takes the state of a register as one replica reported it. Keys of other registers are ignored.
  void observe(BootTime now, const std::string& key, const consensus::Register& stored);
  // Reports that all registers of one replica were observed at least once.
  void on_synced(BootTime now);
  // Takes the result of a proposal from take_proposals().
  void on_result(BootTime now, const consensus::ProposalResult& result);

  // Reports that this process did not run for `length`.
  void on_pause(BootTime now, Duration length);
  // Releases all held leases and acquires none from now on.
  void release_all(BootTime now);
  bool holds_any() const;
  size_t held_lease_count() const { return held_lease_count_; }

  // Calls visit(lease, record or null, whether this process holds it) for each lease it is a candidate for.
  template <class Visit>
  void for_each(Visit&& visit) const {
    for (const auto& [name, lease] : leases_)
      visit(name, lease.record ? &*lease.record : nullptr, lease.is_held());
  }

  void on_tick(BootTime now);
  std::optional<BootTime> next_deadline() const;  // when to call on_tick(); none: not needed
  std::vector<consensus::Proposal> take_proposals() { return std::exchange(proposals_, {}); }
  std::vector<Event> take_events() { return std::exchange(events_, {}); }
  std::string digest() const;  // state that determines future behaviour, for state-space searches

 private:
  // Purpose of the proposal in progress.
  enum class Pending : uint8_t { kNone, kAcquire, kRenew, kWriteState, kRelease };
  struct Lease {
    bool is_campaigning = true;

    // The register as last observed.
    consensus::Register stored;
    std::optional<LeaseRecord> record;
    bool is_known = false;       // the register was observed at least once
    bool is_committed = false;   // known to be committed, not only accepted by the replica that reported it
    bool is_unreadable = false;  // the stored value is not a valid lease record
    BootTime observed_at;
    Duration election_delay{};  // counted from observed_at

    Pending pending = Pending::kNone;
    consensus::Proposal proposal;
    BootTime proposed_at;

    uint64_t epoch = 0;  // 0: not held
    BootTime valid_until, renew_at;
    std::optional<std::string> state_to_write;  // by the next proposal
    bool is_releasing = false, is_in_use = false;
    EndReason release_reason = EndReason::kNone;

    bool is_held() const { return epoch > 0; }
    bool is_release_due() const { return is_releasing && !is_in_use; }
  };
  using Leases = std::map<std::string, Lease>;

  Duration max_election_delay(bool is_released) const;
  Duration election_delay(BootTime now, const std::string& name, bool is_released) const;
  // Returns when this gateway may propose to acquire the lease; none: not in the current state.
  std::optional<BootTime> acquirable_at(const Lease& lease) const;

  void update_stored_register(BootTime now, const std::string& name, Lease& lease,
                              const consensus::Register& stored, bool is_committed);
  void mark_lost(const std::string& name, Lease& lease, EndReason reason);
  void mark_for_release(Lease& lease, EndReason reason);

  void propose(BootTime now, const std::string& name, Lease& lease, Pending pending,
               const LeaseRecord& record);
  void propose_next(BootTime now, const std::string& name, Lease& lease);
  void propose_as_holder(BootTime now, const std::string& name, Lease& lease);
  void propose_acquisition(BootTime now, const std::string& name, Lease& lease);

  void on_unknown_result(BootTime now, const std::string& name, Lease& lease,
                         const consensus::ProposalResult& result);
  void give_up_state_write(BootTime now, const std::string& name, Lease& lease);
  void on_no_quorum(BootTime now, Lease& lease);
  void on_conflict(BootTime now, Leases::iterator it, const consensus::ProposalResult& result);
  void on_committed(BootTime now, Leases::iterator it, const consensus::ProposalResult& result);
  void on_released(Leases::iterator it);
  void on_acquired(const std::string& name, Lease& lease, BootTime now, BootTime valid_until);
  void on_renewed(const std::string& name, Lease& lease, BootTime valid_until, bool wrote_state);
  consensus::ChangeId
  next_change_id();  // from a pseudorandom sequence seeded with this process's incarnation

  LeaseOptions options_;
  BootTime started_at_;
  Leases leases_;
  std::deque<BootTime> recent_pauses_;
  bool is_synced_ = false, is_shutting_down_ = false;
  uint64_t change_ids_generated_ = 0;
  size_t held_lease_count_ = 0;
  std::vector<consensus::Proposal> proposals_;
  std::vector<Event> events_;
};

}  // namespace firvalve::lease
