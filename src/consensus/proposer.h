// Proposer: changes and reads registers. It runs the two phases of each proposal, prepare and accept, with a
// quorum of replicas. It does no I/O, reads no clock and starts no threads; its backoff is seeded.
//
// Concurrent proposers for one key can delay each other but never produce wrong results. A proposer that is
// rejected backs off for a random time that grows with each attempt.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/backoff.h"
#include "consensus/register.h"

namespace firvalve::consensus {

// Settings of a proposer.
struct ProposerOptions {
  uint32_t replica_count = 3;
  uint64_t proposer_id = 1;  // must be unique, so it is drawn at random at each start
  uint64_t seed = 1;         // for the backoff
  // A request is resent to replicas that have not answered within response_timeout, up to max_resends times.
  // After that the proposer backs off and starts a new attempt with a higher ballot.
  Duration response_timeout = 120ms;
  int max_resends = 3;
  Duration min_backoff = 10ms, max_backoff = 400ms;  // before the next attempt
};

// A request to change or read the register of a key.
struct Proposal {
  ChangeId id = 0;  // 0: read only
  std::string key;
  ChangeId expected_change = 0;  // compare-and-set condition; 0: the register must have no value
  std::string value;
  bool is_urgent = false;  // watchers are notified without delay
  BootTime deadline;       // the proposal ends at this time at the latest

  bool is_read() const { return id == 0; }
};

// The result of a proposal.
struct ProposalResult {
  enum class Kind : uint8_t {
    kCommitted,  // the change was committed on top of expected_change
    kConflict,   // the register held another change; this one was not committed and never will be
    kRead,       // `current` was the committed register at some time between the proposal and now
    kNoQuorum,   // too few replicas answered in time; the change was not committed and never will be
    kUnknown,    // too few replicas answered in time; the change may be committed now or later. Proposing it
                 // again under the same id tells, unless more than kMaxEarlierChanges changes followed it
  };
  Kind kind = Kind::kUnknown;
  Proposal proposal;
  Register current;      // the committed register, for kCommitted, kConflict and kRead
  BootTime proposed_at;  // when the first request of the proposal was sent
  // For kNoQuorum and kUnknown: the last attempt that was rejected failed because too many replicas had no
  // space for the register.
  bool is_out_of_space = false;
};

class Proposer {
 public:
  explicit Proposer(const ProposerOptions& options);

  void propose(BootTime now, Proposal proposal);  // the result comes with a later take_results()
  void handle(BootTime now, PeerId replica, const Message& message);
  void on_tick(BootTime now);
  std::optional<BootTime> next_deadline() const;  // when to call on_tick(); none: no proposal is open
  size_t open_proposal_count() const { return rounds_.size(); }
  // Whether a response belongs to the current phase of an open proposal. Any other response has no effect.
  bool is_expecting(const Message& message) const;

  std::vector<Envelope> take_messages() { return std::exchange(messages_, {}); }
  std::vector<ProposalResult> take_results() { return std::exchange(results_, {}); }
  std::string digest() const;  // state that determines future behaviour, for state-space searches

 private:
  struct Response {  // a promise or an accepted message of one replica
    Incarnation incarnation = 0;
    std::vector<Incarnation> known_incarnations;
    Ballot accepted_ballot;
    Register accepted;
  };
  // A proposal with the state of its current phase.
  struct Round {
    Round(BootTime now, Proposal submitted, const Backoff& delays)
        : proposal(std::move(submitted)), proposed_at(now), backoff(delays) {}

    Proposal proposal;
    BootTime proposed_at;
    enum class Phase : uint8_t { kBackoff, kPrepare, kAccept } phase = Phase::kBackoff;
    Ballot ballot;                     // of the current attempt
    Ballot highest_sent_accept;        // highest ballot of an accept request sent by any attempt
    bool has_sent_own_change = false;  // an accept request with the proposal's change was sent
    Register proposed;                 // sent in the current accept phase
    ProposalResult::Kind outcome = ProposalResult::Kind::kUnknown;  // result if `proposed` is accepted
    std::map<PeerId, Response> responses;
    uint32_t rejections = 0, out_of_space_rejections = 0;
    bool is_out_of_space = false;  // as in ProposalResult
    int resends = 0;
    BootTime deadline;  // of the phase: when to resend requests or end the backoff
    Backoff backoff;
  };
  using Rounds = std::map<RequestId, Round>;  // keyed by the request id of the current phase
  using Responses = std::vector<const Response*>;

  void start_attempt(BootTime now, Round round);
  void start_phase(BootTime now, Round round);  // sends the request to all replicas under a new request id
  void send_request(RequestId id, const Round& round, PeerId to);
  void back_off(BootTime now, Rounds::iterator it);
  Responses countable_responses(const Round& round) const;
  void handle_rejected(BootTime now, Rounds::iterator it, const Message& message);
  void on_prepared(BootTime now, Rounds::iterator it, const Responses& responses);
  void on_phase_timeout(BootTime now, Rounds::iterator it);
  void finish(const Round& round, ProposalResult::Kind kind, const Register& current);

  ProposerOptions options_;
  uint64_t highest_ballot_number_ = 0;
  RequestId last_request_id_ = 0;
  uint64_t backoff_seeds_used_ = 0;
  Rounds rounds_;
  std::vector<Envelope> messages_;
  std::vector<ProposalResult> results_;
};

}  // namespace firvalve::consensus
