// Every way in which messages are delivered, lost and repeated, in which replicas lose their storage and in
// which proposers time out, over the real acceptors and proposers, up to the bounds that each test names.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "consensus/acceptor.h"
#include "consensus/digest.h"
#include "consensus/proposer.h"
#include "searching.h"

namespace firvalve::consensus {
namespace {

struct Bounds {
  int timeouts = 1;               // of each proposer
  int repeats = 0;                // messages that arrive and may arrive again
  int storage_losses = 0;         // replicas that lose their storage
  bool recovers_at_once = false;  // before anything else happens
  int restarts = 0;               // replicas that restart with their storage
  int changes = 1;                // that each proposer proposes, on top of what it saw before
};

// Two proposers that change one register of three replicas.
class Race {
 public:
  struct Move {
    enum Kind { kDeliver, kRepeat, kTimeout, kLoseStorage, kRestart } kind = kDeliver;
    size_t which = 0;
  };

  explicit Race(const Bounds& bounds) : bounds_(bounds) {
    for (PeerId replica = 0; replica < 3; ++replica) {
      AcceptorOptions options;
      options.self = replica;
      ReplicaMetadata metadata;
      metadata.incarnation = 1 + replica;
      metadata.is_voting = true;
      metadata.known_incarnations = metadata.bootstrap_incarnations = {1, 2, 3};
      replicas_.emplace_back(options, metadata, std::map<std::string, AcceptorSlot>{});
    }
    for (uint64_t proposer = 0; proposer < 2; ++proposer) {
      ProposerOptions options;
      options.proposer_id = options.seed = proposer + 1;
      options.max_resends = 0;  // after the first timeout the proposal starts over under a new ballot
      proposers_.emplace_back(options);
      timeouts_.push_back(bounds.timeouts);
      changes_.push_back(0);
      results_.emplace_back();
      propose(proposer, 0);
    }
    settle();
  }

  std::vector<Move> moves() const {
    std::vector<Move> out;
    for (size_t i = 0; i < in_flight_.size(); ++i) {
      if (i > 0 && in_flight_[i].same(in_flight_[i - 1])) continue;
      out.push_back({Move::kDeliver, i});
      if (bounds_.repeats > 0) out.push_back({Move::kRepeat, i});
    }
    for (size_t proposer = 0; proposer < proposers_.size(); ++proposer)
      if (timeouts_[proposer] > 0 && proposers_[proposer].open_proposal_count() > 0)
        out.push_back({Move::kTimeout, proposer});
    for (size_t replica = 0; replica < replicas_.size(); ++replica) {
      if (bounds_.storage_losses > 0 && replicas_[replica].is_voting())
        out.push_back({Move::kLoseStorage, replica});
      if (bounds_.restarts > 0) out.push_back({Move::kRestart, replica});
    }
    return out;
  }

  void apply(const Move& move) {
    switch (move.kind) {
      case Move::kRepeat:
        --bounds_.repeats;
        deliver(in_flight_[move.which]);
        break;
      case Move::kDeliver: {
        const InFlight arrived = in_flight_[move.which];
        in_flight_.erase(in_flight_.begin() + static_cast<long>(move.which));
        deliver(arrived);
        break;
      }
      case Move::kTimeout:
        --timeouts_[move.which];
        // Once for the response timeout, once for the backoff after it.
        proposers_[move.which].on_tick(now_ += 1000ms);
        proposers_[move.which].on_tick(now_ += 1000ms);
        break;
      case Move::kLoseStorage: {
        --bounds_.storage_losses;
        AcceptorOptions options;
        options.self = static_cast<PeerId>(move.which);
        replicas_[move.which] = Acceptor(options, 50 + move.which);
        replicas_[move.which].on_tick(now_ += 1000ms);
        for (bool more = bounds_.recovers_at_once; more;) {
          more = false;
          for (PeerId replica = 0; replica < 3; ++replica)
            for (const Envelope& envelope : replicas_[replica].take_output().messages) {
              if (envelope.to < 3) {
                replicas_[envelope.to].handle(now_, replica, envelope.message);
                more = true;
              } else {
                put_in_flight(replica, envelope.to, envelope.message);
              }
            }
        }
        break;
      }
      case Move::kRestart: {
        --bounds_.restarts;
        AcceptorOptions options;
        options.self = static_cast<PeerId>(move.which);
        Acceptor& replica = replicas_[move.which];
        replica = Acceptor(options, replica.metadata(), replica.slots());
        replica.on_tick(now_ += 1000ms);
        break;
      }
    }
    settle();
  }

  std::string told(const Move& move) const {
    if (move.kind == Move::kTimeout) return "proposer " + std::to_string(move.which) + " times out";
    if (move.kind == Move::kLoseStorage)
      return "replica " + std::to_string(move.which) + " loses its storage";
    if (move.kind == Move::kRestart) return "replica " + std::to_string(move.which) + " restarts";
    static const char* const kNames[] = {
        "",      "prepare", "promise",          "accept",   "accepted",    "rejected",
        "watch", "changes", "metadata request", "metadata", "fetch state", "state"};
    const InFlight& sent = in_flight_[move.which];
    return std::string(kNames[static_cast<int>(sent.message.type)]) + " of ballot " +
           std::to_string(sent.message.ballot.number) + "/" +
           std::to_string(sent.message.ballot.proposer_id) + " from " + std::to_string(sent.from) + " to " +
           std::to_string(sent.to) + (move.kind == Move::kRepeat ? ", and again later" : "");
  }

  std::string digest() const {
    Digest digest;
    for (const Acceptor& k : replicas_) digest.add(k.digest());
    for (size_t proposer = 0; proposer < proposers_.size(); ++proposer) {
      digest.add(proposers_[proposer].digest()).add(timeouts_[proposer]).add(changes_[proposer]);
      for (const ProposalResult& result : results_[proposer])
        digest.add(static_cast<uint8_t>(result.kind)).add(result.proposal.id).add(result.current);
    }
    for (const InFlight& f : in_flight_) digest.add(f.from).add(f.to).add(f.message);
    digest.add(bounds_.repeats).add(bounds_.storage_losses).add(bounds_.restarts);
    return digest.text();
  }

  // What was reported as committed must fit into one chain: each version was made once, on top of the one
  // before, what was reported as a conflict is in none of them, and no proposer sees less than it saw before.
  std::optional<std::string> breach() const {
    std::map<uint64_t, uint64_t> committed;
    for (const ProposalResult& result : all_results_) {
      const Register& current = result.current;
      for (uint64_t version = current.version, i = 0; version > 0; --version, ++i) {
        const uint64_t id = i == 0 ? current.change_id : current.earlier_changes[i - 1];
        const auto [at, first] = committed.emplace(version, id);
        if (!first && at->second != id)
          return "version " + std::to_string(version) + " was reported as " + std::to_string(at->second) +
                 " and as " + std::to_string(id);
      }
    }
    for (const ProposalResult& result : all_results_)
      if (result.kind == ProposalResult::Kind::kConflict)
        for (const auto& [version, id] : committed)
          if (id == result.proposal.id)
            return "change " + std::to_string(id) + " was reported as a conflict, and is committed";
    // The proposals of one proposer follow each other; those of two may overlap.
    for (const auto& results : results_)
      for (size_t i = 1; i < results.size(); ++i)
        if (results[i].current.version < results[i - 1].current.version)
          return "a proposer saw less than before";
    return {};
  }

 private:
  struct InFlight {
    PeerId from = 0, to = 0;  // proposers are 3 and 4
    Message message;
    std::string text;
    bool same(const InFlight& o) const { return text == o.text; }
  };

  void propose(size_t proposer, ChangeId expected) {
    Proposal proposal;
    proposal.id = 10 * (proposer + 1) + static_cast<uint64_t>(++changes_[proposer]);
    proposal.key = "k";
    proposal.expected_change = expected;
    proposal.deadline = time_point_of<BootClock>(1e12);
    proposers_[proposer].propose(now_, proposal);
  }

  void deliver(const InFlight& arrived) {
    if (arrived.to < 3)
      replicas_[arrived.to].handle(now_, arrived.from, arrived.message);
    else
      proposers_[arrived.to - 3].handle(now_, arrived.from, arrived.message);
  }

  void put_in_flight(PeerId from, PeerId to, const Message& message) {
    Digest digest;
    digest.add(from).add(to).add(message);
    in_flight_.push_back({from, to, message, digest.text()});
  }

  void settle() {
    for (PeerId replica = 0; replica < 3; ++replica)
      for (const Envelope& envelope : replicas_[replica].take_output().messages)
        put_in_flight(replica, envelope.to, envelope.message);
    for (PeerId proposer = 0; proposer < 2; ++proposer) {
      for (const ProposalResult& result : proposers_[proposer].take_results()) {
        results_[proposer].push_back(result);
        all_results_.push_back(result);
        if (changes_[proposer] < bounds_.changes) propose(proposer, result.current.change_id);
      }
      for (const Envelope& envelope : proposers_[proposer].take_messages())
        put_in_flight(3 + proposer, envelope.to, envelope.message);
    }
    // Responses to rounds that are over change nothing: not worth a state.
    std::erase_if(in_flight_, [this](const InFlight& f) {
      return f.to >= 3 && !proposers_[f.to - 3].is_expecting(f.message);
    });
    std::sort(in_flight_.begin(), in_flight_.end(),
              [](const InFlight& a, const InFlight& b) { return a.text < b.text; });
  }

  Bounds bounds_;
  std::vector<Acceptor> replicas_;
  std::vector<Proposer> proposers_;
  std::vector<int> timeouts_, changes_;
  std::vector<std::vector<ProposalResult>> results_;
  std::vector<ProposalResult> all_results_;
  std::vector<InFlight> in_flight_;
  BootTime now_ = time_point_of<BootClock>(1);
};

const size_t kMost = states_most();

simulation::Explored explore(const Bounds& bounds, size_t most) { return explored<Race>(bounds, most); }
bool found(const Bounds& bounds, InjectedBug bug) { return walks_find<Race>(bounds, bug, kMost / 2); }

TEST(ExploreConsensus, TwoProposersOfOneRegisterWithoutTimeouts) {
  Bounds bounds;
  bounds.timeouts = 0;
  EXPECT_FALSE(explore(bounds, kMost).breach);
}

TEST(ExploreConsensus, TwoProposersOfOneRegisterWithATimeout) {
  Bounds bounds;
  bounds.timeouts = 1;
  const simulation::Explored out = explore(bounds, kMost);
  EXPECT_FALSE(out.breach);
}

TEST(ExploreConsensus, AReplicaLosesItsStorage) {
  Bounds bounds;
  bounds.timeouts = 1;
  bounds.storage_losses = 1;
  const simulation::Explored out = explore(bounds, kMost);
  EXPECT_FALSE(out.breach);
}

TEST(ExploreConsensus, AReplicaLosesItsStorageAndRecoversAtOnce) {
  Bounds bounds;
  bounds.timeouts = 0;
  bounds.storage_losses = 1;
  bounds.recovers_at_once = true;
  EXPECT_FALSE(explore(bounds, kMost).breach);
}

TEST(ExploreConsensus, AMessageIsDeliveredTwice) {
  Bounds bounds;
  bounds.timeouts = 1;
  bounds.repeats = 1;
  EXPECT_FALSE(explore(bounds, kMost).breach);
}

TEST(ExploreConsensus, EachInjectedBugIsFound) {
  Bounds bounds;
  bounds.timeouts = 1;
  EXPECT_TRUE(found(bounds, InjectedBug::kSkipPromiseCheck));
  EXPECT_TRUE(found(bounds, InjectedBug::kSkipConflictWriteBack));
  bounds.storage_losses = 1;
  EXPECT_TRUE(found(bounds, InjectedBug::kForgetfulAcceptor));
  bounds.recovers_at_once = true;
  EXPECT_TRUE(found(bounds, InjectedBug::kIgnoreIncarnations));
  EXPECT_FALSE(found(bounds, InjectedBug::kNone));
  bounds.changes = 2;
  EXPECT_FALSE(found(bounds, InjectedBug::kNone));  // and nothing without one
}

}  // namespace
}  // namespace firvalve::consensus
