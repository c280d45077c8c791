// State-space search over the real acceptors and proposers: tries every order of message deliveries, losses
// and duplicates, storage losses, restarts and proposer timeouts within the bounds of each test, and checks
// that the reported results are consistent.

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
  int timeouts = 1;                   // per proposer
  int duplicates = 0;                 // deliveries of a message that stays in flight
  int storage_losses = 0;             // of replicas
  bool recovers_immediately = false;  // a replica recovers from a storage loss before any other move
  int restarts = 0;                   // of replicas, with their storage
  int changes = 1;                    // proposed by each proposer, each on top of the register it saw last
};

// A state of the search: three replicas, two proposers that change one register, and the messages in flight.
class TwoProposersState {
 public:
  struct Move {
    enum Kind { kDeliver, kDuplicate, kTimeout, kLoseStorage, kRestart } kind = kDeliver;
    size_t index = 0;
  };

  explicit TwoProposersState(const Bounds& bounds) : bounds_(bounds) {
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
      options.max_resends = 0;  // the first timeout starts a new attempt with a higher ballot
      proposers_.emplace_back(options);
      timeouts_.push_back(bounds.timeouts);
      changes_.push_back(0);
      results_.emplace_back();
      propose(proposer, 0);
    }
    collect_output();
  }

  std::vector<Move> moves() const {
    std::vector<Move> out;
    for (size_t i = 0; i < in_flight_.size(); ++i) {
      if (i > 0 && in_flight_[i].is_same_as(in_flight_[i - 1])) continue;
      out.push_back({Move::kDeliver, i});
      if (bounds_.duplicates > 0) out.push_back({Move::kDuplicate, i});
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
      case Move::kDuplicate:
        --bounds_.duplicates;
        deliver(in_flight_[move.index]);
        break;
      case Move::kDeliver: {
        const InFlight arrived = in_flight_[move.index];
        in_flight_.erase(in_flight_.begin() + static_cast<long>(move.index));
        deliver(arrived);
        break;
      }
      case Move::kTimeout:
        --timeouts_[move.index];
        // The first tick ends the response timeout, the second the backoff that follows.
        proposers_[move.index].on_tick(now_ += 1000ms);
        proposers_[move.index].on_tick(now_ += 1000ms);
        break;
      case Move::kLoseStorage: {
        --bounds_.storage_losses;
        AcceptorOptions options;
        options.self = static_cast<PeerId>(move.index);
        replicas_[move.index] = Acceptor(options, 50 + move.index);
        replicas_[move.index].on_tick(now_ += 1000ms);
        for (bool keep_delivering = bounds_.recovers_immediately; keep_delivering;) {
          keep_delivering = false;
          for (PeerId replica = 0; replica < 3; ++replica)
            for (const Envelope& envelope : replicas_[replica].take_output().messages) {
              if (envelope.to < 3) {
                replicas_[envelope.to].handle(now_, replica, envelope.message);
                keep_delivering = true;
              } else {
                add_in_flight(replica, envelope.to, envelope.message);
              }
            }
        }
        break;
      }
      case Move::kRestart: {
        --bounds_.restarts;
        AcceptorOptions options;
        options.self = static_cast<PeerId>(move.index);
        Acceptor& replica = replicas_[move.index];
        replica = Acceptor(options, replica.metadata(), replica.slots());
        replica.on_tick(now_ += 1000ms);
        break;
      }
    }
    collect_output();
  }

  std::string describe(const Move& move) const {
    if (move.kind == Move::kTimeout) return "proposer " + std::to_string(move.index) + " times out";
    if (move.kind == Move::kLoseStorage)
      return "replica " + std::to_string(move.index) + " loses its storage";
    if (move.kind == Move::kRestart) return "replica " + std::to_string(move.index) + " restarts";
    static const char* const kNames[] = {
        "",      "prepare", "promise",          "accept",   "accepted",    "rejected",
        "watch", "changes", "metadata request", "metadata", "fetch state", "state"};
    const InFlight& sent = in_flight_[move.index];
    return std::string(kNames[static_cast<int>(sent.message.type)]) + " of ballot " +
           std::to_string(sent.message.ballot.number) + "/" +
           std::to_string(sent.message.ballot.proposer_id) + " from " + std::to_string(sent.from) + " to " +
           std::to_string(sent.to) + (move.kind == Move::kDuplicate ? " (duplicated)" : "");
  }

  std::string digest() const {
    Digest digest;
    for (const Acceptor& replica : replicas_) digest.add(replica.digest());
    for (size_t proposer = 0; proposer < proposers_.size(); ++proposer) {
      digest.add(proposers_[proposer].digest()).add(timeouts_[proposer]).add(changes_[proposer]);
      for (const ProposalResult& result : results_[proposer])
        digest.add(static_cast<uint8_t>(result.kind)).add(result.proposal.id).add(result.current);
    }
    for (const InFlight& f : in_flight_) digest.add(f.from).add(f.to).add(f.message);
    digest.add(bounds_.duplicates).add(bounds_.storage_losses).add(bounds_.restarts);
    return digest.text();
  }

  // Checks the reported results: the committed changes form one chain with one change per version, no change
  // reported as a conflict is in it, and the version that a proposer sees never decreases.
  std::optional<std::string> find_violation() const {
    std::map<uint64_t, uint64_t> committed;
    for (const ProposalResult& result : all_results_) {
      const Register& current = result.current;
      for (uint64_t version = current.version, i = 0; version > 0; --version, ++i) {
        const uint64_t id = i == 0 ? current.change_id : current.earlier_changes[i - 1];
        const auto [it, is_new] = committed.emplace(version, id);
        if (!is_new && it->second != id)
          return "version " + std::to_string(version) + " was reported as " + std::to_string(it->second) +
                 " and as " + std::to_string(id);
      }
    }
    for (const ProposalResult& result : all_results_)
      if (result.kind == ProposalResult::Kind::kConflict)
        for (const auto& [version, id] : committed)
          if (id == result.proposal.id)
            return "change " + std::to_string(id) + " was reported as a conflict, and is committed";
    // Versions are compared per proposer only: proposals of different proposers may overlap.
    for (const auto& results : results_)
      for (size_t i = 1; i < results.size(); ++i)
        if (results[i].current.version < results[i - 1].current.version)
          return "a proposer saw an older version than before";
    return {};
  }

 private:
  struct InFlight {
    PeerId from = 0, to = 0;  // proposers are 3 and 4
    Message message;
    std::string text;
    bool is_same_as(const InFlight& other) const { return text == other.text; }
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

  void add_in_flight(PeerId from, PeerId to, const Message& message) {
    Digest digest;
    digest.add(from).add(to).add(message);
    in_flight_.push_back({from, to, message, digest.text()});
  }

  void collect_output() {
    for (PeerId replica = 0; replica < 3; ++replica)
      for (const Envelope& envelope : replicas_[replica].take_output().messages)
        add_in_flight(replica, envelope.to, envelope.message);
    for (PeerId proposer = 0; proposer < 2; ++proposer) {
      for (const ProposalResult& result : proposers_[proposer].take_results()) {
        results_[proposer].push_back(result);
        all_results_.push_back(result);
        if (changes_[proposer] < bounds_.changes) propose(proposer, result.current.change_id);
      }
      for (const Envelope& envelope : proposers_[proposer].take_messages())
        add_in_flight(3 + proposer, envelope.to, envelope.message);
    }
    // Drop responses to finished phases: they have no effect and would only add states.
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

const size_t kMaxStates = state_limit();

simulation::SearchResult explore(const Bounds& bounds, size_t max_states) {
  return explore_and_print<TwoProposersState>(bounds, max_states);
}
bool random_walks_find_violation(const Bounds& bounds, InjectedBug bug) {
  return random_walks_find_violation<TwoProposersState>(bounds, bug, kMaxStates / 2);
}

TEST(ExploreConsensus, TwoProposersWithoutTimeouts) {
  Bounds bounds;
  bounds.timeouts = 0;
  EXPECT_FALSE(explore(bounds, kMaxStates).violation);
}

TEST(ExploreConsensus, TwoProposersWithATimeout) {
  Bounds bounds;
  bounds.timeouts = 1;
  const simulation::SearchResult out = explore(bounds, kMaxStates);
  EXPECT_FALSE(out.violation);
}

TEST(ExploreConsensus, ReplicaLosesItsStorage) {
  Bounds bounds;
  bounds.timeouts = 1;
  bounds.storage_losses = 1;
  const simulation::SearchResult out = explore(bounds, kMaxStates);
  EXPECT_FALSE(out.violation);
}

TEST(ExploreConsensus, ReplicaLosesItsStorageAndRecoversAtOnce) {
  Bounds bounds;
  bounds.timeouts = 0;
  bounds.storage_losses = 1;
  bounds.recovers_immediately = true;
  EXPECT_FALSE(explore(bounds, kMaxStates).violation);
}

TEST(ExploreConsensus, MessageIsDeliveredTwice) {
  Bounds bounds;
  bounds.timeouts = 1;
  bounds.duplicates = 1;
  EXPECT_FALSE(explore(bounds, kMaxStates).violation);
}

TEST(ExploreConsensus, EachInjectedBugIsFound) {
  Bounds bounds;
  bounds.timeouts = 1;
  EXPECT_TRUE(random_walks_find_violation(bounds, InjectedBug::kSkipPromiseCheck));
  EXPECT_TRUE(random_walks_find_violation(bounds, InjectedBug::kSkipConflictWriteBack));
  bounds.storage_losses = 1;
  EXPECT_TRUE(random_walks_find_violation(bounds, InjectedBug::kForgetfulAcceptor));
  bounds.recovers_immediately = true;
  EXPECT_TRUE(random_walks_find_violation(bounds, InjectedBug::kIgnoreIncarnations));
  // Without a bug no violation is found.
  EXPECT_FALSE(random_walks_find_violation(bounds, InjectedBug::kNone));
  bounds.changes = 2;
  EXPECT_FALSE(random_walks_find_violation(bounds, InjectedBug::kNone));
}

}  // namespace
}  // namespace firvalve::consensus
