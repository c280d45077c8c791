// LeaseManager: named leases, each held by one gateway at a time. It decides when this gateway acquires one,
// until when it may act under it, and when it releases it. No I/O, clock or thread.
//
// Safety rests on clocks whose rates differ by at most kMaxClockDrift, and on nothing else:
//  - A holder counts its lease from before it proposed the record and stops acting a safety margin before its
//    end.
//  - A candidate waits, from when it saw the record that it builds on, for that record's whole lease on the
//    slowest clock allowed. Its own record is committed only if the holder has not renewed since: at whatever
//    replica it saw the record, and however late, it errs towards waiting longer.
//  - Each holder has an epoch, greater than all before: a fencing token. A receiver of a request refuses one
//    of an older epoch (fence.h). An action that nobody can refuse, as a load at an engine, is recorded as
//    started in the lease's state before it starts: the next holder reads it there.
//
// Who gets a free lease is decided by each candidate by its election delay: by a hash of its own for that
// lease, the number of leases it holds already, its recent pauses and its uptime. So the leases of a gateway
// that died are spread over many, one that is often paused comes last, and no candidate has to know the
// others. A holder keeps a lease until it loses it, shuts down or is paused too often: nothing moves because
// another seems a little better.
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

struct LeaseOptions {
  std::string self;             // the address at which peers reach this gateway
  Incarnation incarnation = 1;  // of this process: drawn at its start
  Duration duration = 3000ms;   // of a lease
};

// Clocks run at rates that differ by no more than one part in a hundred: past any quartz, short of broken.
constexpr double kMaxClockDrift = 0.01;
// The part of its lease in which a holder begins nothing new: for an action that is on its way at its start.
Duration safety_margin_of(Duration lease);
// How long a candidate waits on its own clock for a lease that another counts on its own.
Duration takeover_wait_of(Duration lease);

// Why a holder holds a lease no longer.
enum class EndReason : uint8_t {
  kNone,
  kExpired,           // it was not renewed in time
  kSuperseded,        // another holder's record is committed
  kRecordUnreadable,  // what is committed under its name is no lease record
  kResigned,          // this gateway is no candidate any more
  kRepeatedPauses,    // the process was paused too often
  kShutdown,          // the process ends
};
std::string_view to_string(EndReason reason);  // for logs and operators

struct Event {
  enum class Kind : uint8_t {
    kAcquired,      // epoch, valid_until
    kRenewed,       // epoch, valid_until
    kReleased,      // epoch, reason: handed on by this process
    kLost,          // epoch, reason
    kStateWritten,  // epoch, is_committed: the end of a write_state()
    kObserved,      // epoch: another record was seen
    kUnreadable,    // what is stored under the lease's name is no lease record
  };
  Kind kind = Kind::kAcquired;
  std::string lease;
  uint64_t epoch = 0;
  EndReason reason = EndReason::kNone;
  std::optional<BootTime> valid_until{};  // it may act until then, unless a later event says otherwise
  bool is_committed = false;
};

class LeaseManager {
 public:
  LeaseManager(BootTime now, const LeaseOptions& options);

  // From here on this gateway is a candidate: it acquires the lease when it is free.
  void campaign(BootTime now, const std::string& lease);
  // It is a candidate no longer and releases the lease if it holds it.
  void resign(BootTime now, const std::string& lease);
  bool is_candidate_for(const std::string& lease) const { return leases_.count(lease) > 0; }

  // The fencing token under which it may act now; none: it may not. To be read right before each action, with
  // the time as it is then.
  std::optional<uint64_t> active_epoch(BootTime now, const std::string& lease) const;
  // Puts another application state into the record under the present epoch; kStateWritten tells the end.
  // False: it may not act now, or another such write is in progress.
  bool write_state(BootTime now, const std::string& lease, std::string state);
  // While a lease is in use it is held and renewed, and released only after that.
  void set_in_use(BootTime now, const std::string& lease, bool is_in_use);
  // What was last seen to be stored; null: nothing that can be read.
  const LeaseRecord* record(const std::string& lease) const;

  // A register as a replica showed it. Those of other keys are passed over.
  void observe(BootTime now, const std::string& key, const consensus::Register& stored);
  void on_synced(BootTime now);  // all registers of one replica were observed once
  void on_result(BootTime now, const consensus::ProposalResult& result);

  // This process did not run for so long.
  void on_pause(BootTime now, Duration length);
  // Releases all that it holds and acquires nothing more.
  void release_all(BootTime now);
  bool holds_any() const;
  size_t held_count() const { return held_count_; }

  // visit(lease, record or null, whether this process holds it), for all that it is a candidate for.
  template <class Visit>
  void for_each(Visit&& visit) const {
    for (const auto& [name, lease] : leases_)
      visit(name, lease.record ? &*lease.record : nullptr, lease.is_held());
  }

  void on_tick(BootTime now);
  std::optional<BootTime> next_deadline() const;
  std::vector<consensus::Proposal> take_proposals() { return std::exchange(proposals_, {}); }
  std::vector<Event> take_events() { return std::exchange(events_, {}); }
  std::string digest() const;  // all that its future depends on, for searches over states

 private:
  // The proposal that is in progress.
  enum class Pending : uint8_t { kNone, kAcquire, kRenew, kWriteState, kRelease };
  struct Lease {
    bool is_wanted = true;

    // What is stored, as far as it was seen.
    consensus::Register stored;
    std::optional<LeaseRecord> record;
    bool is_known = false;       // anything was seen
    bool is_committed = false;   // by a quorum, not only accepted by the replica that showed it
    bool is_unreadable = false;  // it is no lease record
    BootTime seen_at;
    Duration election_delay{};  // from seen_at on

    Pending pending = Pending::kNone;
    consensus::Proposal proposal;
    BootTime proposed_at;

    uint64_t epoch = 0;  // 0: not held
    BootTime valid_until, renew_at;
    std::optional<std::string> next_state;  // to be written
    bool is_releasing = false, is_in_use = false;
    EndReason release_reason = EndReason::kNone;

    bool is_held() const { return epoch > 0; }
    bool is_to_be_released() const { return is_releasing && !is_in_use; }
  };
  using Leases = std::map<std::string, Lease>;

  Duration max_election_delay(bool is_released) const;
  Duration election_delay(BootTime now, const std::string& name, bool is_released) const;
  std::optional<BootTime> acquirable_at(const Lease& lease) const;  // none: not as things are

  void take_stored(BootTime now, const std::string& name, Lease& lease, const consensus::Register& stored,
                   bool is_committed);
  void lose(const std::string& name, Lease& lease, EndReason reason);
  void mark_for_release(Lease& lease, EndReason reason);

  void propose(BootTime now, const std::string& name, Lease& lease, Pending pending,
               const LeaseRecord& record);
  void propose_next(BootTime now, const std::string& name, Lease& lease);
  void propose_as_holder(BootTime now, const std::string& name, Lease& lease);
  void propose_acquisition(BootTime now, const std::string& name, Lease& lease);

  void on_unknown(BootTime now, Lease& lease);
  void on_no_quorum(BootTime now, Lease& lease);
  void on_conflict(BootTime now, Leases::iterator at, const consensus::ProposalResult& result);
  void on_committed(BootTime now, Leases::iterator at, const consensus::ProposalResult& result);
  void on_released(Leases::iterator at);
  void on_acquired(const std::string& name, Lease& lease, BootTime now, BootTime valid_until);
  void on_renewed(const std::string& name, Lease& lease, BootTime valid_until, bool wrote_state);
  consensus::ChangeId next_change_id();  // of a sequence that starts at this process's incarnation

  LeaseOptions options_;
  BootTime started_at_;
  Leases leases_;
  std::deque<BootTime> recent_pauses_;
  bool is_synced_ = false, is_shutting_down_ = false;
  uint64_t change_ids_drawn_ = 0;
  size_t held_count_ = 0;
  std::vector<consensus::Proposal> proposals_;
  std::vector<Event> events_;
};

}  // namespace firvalve::lease
