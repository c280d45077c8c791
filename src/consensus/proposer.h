// Proposer: changes and reads registers. It runs the two phases of each proposal, prepare and accept, with a
// quorum of replicas. No I/O, clock or thread; the randomness of its backoff comes from its seed.
//
// Two proposers of one key at a time delay each other but never get wrong results: one that is rejected backs
// off for a random time that grows.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/backoff.h"
#include "consensus/register.h"

namespace firvalve::consensus {

struct ProposerOptions {
  uint32_t replica_count = 3;
  uint64_t proposer_id = 1;  // unique: drawn at each start
  uint64_t seed = 1;
  Duration response_timeout = 120ms;  // of a replica, before the request is sent once more
  int max_resends = 3;                // without a quorum; then the proposal starts over with a higher ballot
  Duration min_backoff = 10ms, max_backoff = 400ms;  // after a rejection
};

struct Proposal {
  ChangeId id = 0;  // 0: it only reads
  std::string key;
  ChangeId expected_change = 0;  // that it builds on; 0: the register has no value yet
  std::string value;
  bool is_urgent = false;  // watchers are to be notified without delay
  BootTime deadline;       // the result comes by then

  bool is_read() const { return id == 0; }
};

struct ProposalResult {
  enum class Kind : uint8_t {
    kCommitted,  // the change was made, on top of the one that it named
    kConflict,   // another change was there; this one was not made and never will be
    kRead,       // what was there at some moment between the proposal and now
    kNoQuorum,   // too few replicas answered in time; the change was not made and never will be
    kUnknown,    // too few answered, and it may yet be committed. The same id proposed again tells, before
                 // kMaxEarlierChanges further changes
  };
  Kind kind = Kind::kUnknown;
  Proposal proposal;
  Register current;      // what is committed: with kCommitted, kConflict and kRead
  BootTime proposed_at;  // when its first message was sent
};

class Proposer {
 public:
  explicit Proposer(const ProposerOptions& options);

  void propose(BootTime now, Proposal proposal);
  void handle(BootTime now, PeerId replica, const Message& message);
  void on_tick(BootTime now);
  std::optional<BootTime> next_deadline() const;  // none: no proposal is open
  size_t open_count() const { return rounds_.size(); }
  // Whether a response can still matter; handling any other changes nothing.
  bool is_expecting(const Message& message) const;

  std::vector<Envelope> take_messages() { return std::exchange(messages_, {}); }
  std::vector<ProposalResult> take_results() { return std::exchange(results_, {}); }
  std::string digest() const;  // all that its future depends on, for searches over states

 private:
  struct Response {
    Incarnation incarnation = 0;
    std::vector<Incarnation> known_incarnations;
    Ballot accepted_ballot;
    Register accepted;
  };
  // One proposal's present phase.
  struct Round {
    Round(BootTime now, Proposal asked, const Backoff& delays)
        : proposal(std::move(asked)), proposed_at(now), backoff(delays) {}

    Proposal proposal;
    BootTime proposed_at;
    enum class Phase : uint8_t { kBackoff, kPrepare, kAccept } phase = Phase::kBackoff;
    Ballot ballot;               // of this attempt
    Ballot highest_sent_accept;  // under which an accept was sent by any attempt
    bool own_change_sent = false;
    Register proposed;                                              // by the present accept phase
    ProposalResult::Kind outcome = ProposalResult::Kind::kUnknown;  // once that is accepted
    std::map<PeerId, Response> responses;
    uint32_t rejections = 0;
    int resends = 0;
    BootTime deadline;  // of the phase: requests are sent again, or the backoff ends
    Backoff backoff;
  };
  using Rounds = std::map<RequestId, Round>;  // by the request of their present phase
  using Responses = std::vector<const Response*>;

  void start_attempt(BootTime now, Round round);
  void start_phase(BootTime now, Round round);  // sends its request to all replicas, under a new id
  void send_request(RequestId id, const Round& round, PeerId to);
  void back_off(BootTime now, Rounds::iterator at);
  Responses countable_responses(const Round& round) const;
  void handle_rejected(BootTime now, Rounds::iterator at, const Message& message);
  void on_prepared(BootTime now, Rounds::iterator at, const Responses& responses);
  void on_phase_timeout(BootTime now, Rounds::iterator at);
  void finish(const Round& round, ProposalResult::Kind kind, const Register& current);

  ProposerOptions options_;
  uint64_t highest_number_ = 0;
  RequestId last_request_id_ = 0;
  uint64_t seeds_used_ = 0;
  Rounds rounds_;
  std::vector<Envelope> messages_;
  std::vector<ProposalResult> results_;
};

}  // namespace firvalve::consensus
