// Whoever wants the record changed or read: asks the keepers, a majority of them twice, and tells what came
// of it. No I/O and no clock; the chance of its waits comes from its seed.
//
// A wish ends as
//  - agreed: the change stands, on top of the change that it named;
//  - conflict: another stands; the change was not made and never will be;
//  - read: what stood at some moment between asking and now;
//  - no majority: too few keepers answered in time; the change was not made and never will be;
//  - unknown: too few answered, and it may yet stand. The same id asked again, before kRemembered further
//    changes, tells.
// Two askers that ask at once get in each other's way, never wrong answers: who is refused waits for a drawn
// time that grows.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "base/backoff.h"
#include "consensus/register.h"

namespace firvalve::consensus {

struct ProposerOptions {
  uint32_t keepers = 3;
  uint64_t asker = 1;  // nobody else's: drawn at each start
  uint64_t seed = 1;
  Ms patience = 120;                       // for a keeper's answer, then it is asked once more
  int repeats = 3;                         // after so many without a majority, anew
  Ms first_wait = 10, longest_wait = 400;  // after a refusal
};

struct Proposal {
  uint64_t id = 0;  // of the change, nobody else's; 0: it only reads
  std::string key;
  uint64_t expected = 0;  // the change that it builds on; 0: nothing stands there
  std::string value;
  bool urgent = false;  // who looks on is told at once
  Ms until = 0;         // no longer
};

struct ProposalResult {
  enum class Kind : uint8_t { kAgreed, kConflict, kRead, kNoMajority, kUnknown };
  Kind kind = Kind::kUnknown;
  Proposal wish;
  Register fact;    // what stands: with kAgreed, kConflict and kRead
  Ms asked_at = 0;  // when it was first sent
};

class Proposer {
 public:
  explicit Proposer(const ProposerOptions& options);

  void ask(Ms now, Proposal wish);
  void handle(Ms now, PeerId keeper, const Message& m);
  void due(Ms now);
  Ms next_due() const;  // 0: nothing is asked
  size_t open() const { return rounds_.size(); }
  // Whether an answer can still mean anything; hearing another changes nothing.
  bool waits_for(const Message& m) const;

  std::vector<Envelope> take_sends() { return std::exchange(sends_, {}); }
  std::vector<ProposalResult> take_ends() { return std::exchange(ends_, {}); }
  std::string digest() const;

 private:
  struct Answer {
    Incarnation life = 0;
    std::vector<Incarnation> lives;
    Ballot held;
    Register fact;
  };
  struct Round {
    Proposal wish;
    Ms asked_at = 0;
    enum class Phase : uint8_t { kWaits, kPrepares, kAccepts } phase = Phase::kWaits;
    Ballot ballot, offered;  // this attempt's; the highest under which anything was offered to keepers
    bool mine_offered = false;
    Register fact;                                                  // offered now
    ProposalResult::Kind outcome = ProposalResult::Kind::kUnknown;  // once that is accepted
    std::map<PeerId, Answer> answers;
    uint32_t refusals = 0;
    int repeats = 0;
    Ms again_at = 0;  // the silent are asked once more, or an attempt begins
    Backoff backoff;
  };
  using Rounds = std::map<uint64_t, Round>;  // by the op of their present phase

  void attempt(Ms now, Round round);
  void put(Ms now, Round round);  // the phase's message to all; a new op
  void send(uint64_t op, const Round& round, PeerId to);
  void back_off(Ms now, Rounds::iterator at);
  uint32_t counted(const Round& round, std::vector<const Answer*>* which) const;
  void prepared(Ms now, Rounds::iterator at, const std::vector<const Answer*>& answers);
  void end(const Round& round, ProposalResult::Kind kind, const Register& fact);

  ProposerOptions options_;
  uint64_t number_ = 0, last_op_ = 0, drawn_ = 0;
  Rounds rounds_;
  std::vector<Envelope> sends_;
  std::vector<ProposalResult> ends_;
};

}  // namespace firvalve::consensus
