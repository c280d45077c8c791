// Every way in which messages are delivered, lost, repeated, in which a keeper dies and in which askers give
// up waiting, over the real keepers and askers, up to the bounds that each test names.

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
  int timeouts = 1;             // of each asker
  int repeats = 0;              // messages that arrive and may arrive again
  int deaths = 0;               // keepers that lose their memory
  bool learns_at_once = false;  // and have learned all again before anything else happens
  int restarts = 0;             // keepers that come back with it
  int changes = 1;              // that each asker wants, one on top of what the one before left
};

// Two that want to change one fact, three keepers. Nothing but what the machines say is between them.
class Race {
 public:
  struct Move {
    enum Kind { kDeliver, kRepeat, kTimeout, kDie, kRestart } kind = kDeliver;
    size_t which = 0;
  };

  explicit Race(const Bounds& bounds) : bounds_(bounds) {
    for (PeerId p = 0; p < 3; ++p) {
      AcceptorOptions t;
      t.self = p;
      ReplicaMetadata standing;
      standing.life = 1 + p;
      standing.full = true;
      standing.lives = standing.founders = {1, 2, 3};
      keepers_.emplace_back(t, standing, std::map<std::string, AcceptorSlot>{});
    }
    for (uint64_t a = 0; a < 2; ++a) {
      ProposerOptions t;
      t.asker = t.seed = a + 1;
      t.repeats = 0;  // the first time-out already begins anew: what was lost is asked under a new ballot
      askers_.emplace_back(t);
      timeouts_.push_back(bounds.timeouts);
      changes_.push_back(0);
      ends_.emplace_back();
      want(a, 0);
    }
    settle();
  }

  std::vector<Move> moves() const {
    std::vector<Move> out;
    for (size_t i = 0; i < flying_.size(); ++i) {
      if (i > 0 && flying_[i].same(flying_[i - 1])) continue;
      out.push_back({Move::kDeliver, i});
      if (bounds_.repeats > 0) out.push_back({Move::kRepeat, i});
    }
    for (size_t a = 0; a < askers_.size(); ++a)
      if (timeouts_[a] > 0 && askers_[a].open() > 0) out.push_back({Move::kTimeout, a});
    for (size_t k = 0; k < keepers_.size(); ++k) {
      if (bounds_.deaths > 0 && keepers_[k].full()) out.push_back({Move::kDie, k});
      if (bounds_.restarts > 0) out.push_back({Move::kRestart, k});
    }
    return out;
  }

  void apply(const Move& move) {
    switch (move.kind) {
      case Move::kRepeat:
        --bounds_.repeats;
        deliver(flying_[move.which]);
        break;
      case Move::kDeliver: {
        const Flying f = flying_[move.which];
        flying_.erase(flying_.begin() + static_cast<long>(move.which));
        deliver(f);
        break;
      }
      case Move::kTimeout:
        --timeouts_[move.which];
        // Once for the silence, once for the drawn wait after it.
        askers_[move.which].due(now_ += 1000);
        askers_[move.which].due(now_ += 1000);
        break;
      case Move::kDie: {
        --bounds_.deaths;
        AcceptorOptions t;
        t.self = static_cast<PeerId>(move.which);
        keepers_[move.which] = Acceptor(t, 50 + move.which);
        keepers_[move.which].due(now_ += 1000);
        for (bool more = bounds_.learns_at_once; more;) {
          more = false;
          for (PeerId k = 0; k < 3; ++k)
            for (const Envelope& e : keepers_[k].take().sends) {
              if (e.to < 3) {
                keepers_[e.to].handle(now_, k, e.message);
                more = true;
              } else {
                fly(k, e.to, e.message);
              }
            }
        }
        break;
      }
      case Move::kRestart: {
        --bounds_.restarts;
        AcceptorOptions t;
        t.self = static_cast<PeerId>(move.which);
        Acceptor& k = keepers_[move.which];
        k = Acceptor(t, k.standing(), k.slots());
        k.due(now_ += 1000);
        break;
      }
    }
    settle();
  }

  std::string told(const Move& move) const {
    if (move.kind == Move::kTimeout) return "asker " + std::to_string(move.which) + " gives up waiting";
    if (move.kind == Move::kDie) return "keeper " + std::to_string(move.which) + " loses its memory";
    if (move.kind == Move::kRestart) return "keeper " + std::to_string(move.which) + " is started again";
    static const char* const kNames[] = {"",     "prepare", "promise",  "accept",      "accepted", "refused",
                                         "look", "changes", "standing", "standing is", "fetch",    "state"};
    const Flying& f = flying_[move.which];
    return std::string(kNames[static_cast<int>(f.message.say)]) + " of ballot " +
           std::to_string(f.message.ballot.number) + "/" + std::to_string(f.message.ballot.asker) + " from " +
           std::to_string(f.from) + " to " + std::to_string(f.to) +
           (move.kind == Move::kRepeat ? ", and again later" : "");
  }

  std::string digest() const {
    Digest d;
    for (const Acceptor& k : keepers_) d.add(k.digest());
    for (size_t a = 0; a < askers_.size(); ++a) {
      d.add(askers_[a].digest()).add(timeouts_[a]).add(changes_[a]);
      for (const ProposalResult& e : ends_[a]) d.add(static_cast<uint8_t>(e.kind)).add(e.wish.id).add(e.fact);
    }
    for (const Flying& f : flying_) d.add(f.from).add(f.to).add(f.message);
    d.add(bounds_.repeats).add(bounds_.deaths).add(bounds_.restarts);
    return d.text();
  }

  // What was told as standing must fit into one chain: each version was made once, on top of the one before,
  // what was told as never made is in none of them, and nobody is told of less than was told to anybody
  // before.
  std::optional<std::string> breach() const {
    std::map<uint64_t, uint64_t> made;
    for (const ProposalResult& e : told_) {
      const Register& f = e.fact;
      for (uint64_t v = f.version, i = 0; v > 0; --v, ++i) {
        const uint64_t id = i == 0 ? f.change : f.before[i - 1];
        const auto [at, first] = made.emplace(v, id);
        if (!first && at->second != id)
          return "version " + std::to_string(v) + " was told as " + std::to_string(at->second) + " and as " +
                 std::to_string(id);
      }
    }
    for (const ProposalResult& e : told_)
      if (e.kind == ProposalResult::Kind::kConflict)
        for (const auto& [version, id] : made)
          if (id == e.wish.id) return "change " + std::to_string(id) + " was told as never made, and stands";
    // Each of these ended after the wish of the next began only where the machines ran beside each other: the
    // same asker's follow each other.
    for (const auto& ends : ends_)
      for (size_t i = 1; i < ends.size(); ++i)
        if (ends[i].fact.version < ends[i - 1].fact.version) return "an asker was told of less than before";
    return {};
  }

 private:
  struct Flying {
    PeerId from = 0, to = 0;  // askers are 3 and 4
    Message message;
    std::string text;
    bool same(const Flying& o) const { return text == o.text; }
  };

  void want(size_t asker, uint64_t expected) {
    Proposal w;
    w.id = 10 * (asker + 1) + static_cast<uint64_t>(++changes_[asker]);
    w.key = "k";
    w.expected = expected;
    w.until = 1e12;
    askers_[asker].ask(now_, w);
  }

  void deliver(const Flying& f) {
    if (f.to < 3)
      keepers_[f.to].handle(now_, f.from, f.message);
    else
      askers_[f.to - 3].handle(now_, f.from, f.message);
  }

  void fly(PeerId from, PeerId to, const Message& m) {
    Digest d;
    d.add(from).add(to).add(m);
    flying_.push_back({from, to, m, d.text()});
  }

  void settle() {
    for (PeerId k = 0; k < 3; ++k)
      for (const Envelope& e : keepers_[k].take().sends) fly(k, e.to, e.message);
    for (PeerId a = 0; a < 2; ++a) {
      for (const ProposalResult& e : askers_[a].take_ends()) {
        ends_[a].push_back(e);
        told_.push_back(e);
        if (changes_[a] < bounds_.changes) want(a, e.fact.change);
      }
      for (const Envelope& e : askers_[a].take_sends()) fly(3 + a, e.to, e.message);
    }
    // What would change nothing any more is not worth a state: answers to rounds that are over.
    std::erase_if(flying_,
                  [this](const Flying& f) { return f.to >= 3 && !askers_[f.to - 3].waits_for(f.message); });
    std::sort(flying_.begin(), flying_.end(),
              [](const Flying& a, const Flying& b) { return a.text < b.text; });
  }

  Bounds bounds_;
  std::vector<Acceptor> keepers_;
  std::vector<Proposer> askers_;
  std::vector<int> timeouts_, changes_;
  std::vector<std::vector<ProposalResult>> ends_;
  std::vector<ProposalResult> told_;
  std::vector<Flying> flying_;
  Ms now_ = 1;
};

const size_t kMost = states_most();

simulation::Explored explore(const Bounds& bounds, size_t most) { return explored<Race>(bounds, most); }
bool found(const Bounds& bounds, InjectedBug flaw) { return walks_find<Race>(bounds, flaw, kMost / 2); }

TEST(Explore, TwoThatChangeOneFactAndNobodyGivesUp) {
  Bounds b;
  b.timeouts = 0;
  EXPECT_FALSE(explore(b, kMost).breach);
}

TEST(Explore, TwoThatChangeOneFactWithATimeOut) {
  Bounds b;
  b.timeouts = 1;
  const simulation::Explored out = explore(b, kMost);
  EXPECT_FALSE(out.breach);
}

TEST(Explore, TheSameWithAKeeperThatLosesItsMemory) {
  Bounds b;
  b.timeouts = 1;
  b.deaths = 1;
  const simulation::Explored out = explore(b, kMost);
  EXPECT_FALSE(out.breach);
}

TEST(Explore, TheSameWhereItHasLearnedAllAtOnce) {
  Bounds b;
  b.timeouts = 0;
  b.deaths = 1;
  b.learns_at_once = true;
  EXPECT_FALSE(explore(b, kMost).breach);
}

TEST(Explore, TheSameWithAMessageThatComesTwice) {
  Bounds b;
  b.timeouts = 1;
  b.repeats = 1;
  EXPECT_FALSE(explore(b, kMost).breach);
}

TEST(Explore, EachPlantedFlawIsFound) {
  Bounds b;
  b.timeouts = 1;
  EXPECT_TRUE(found(b, InjectedBug::kNoPromise));
  EXPECT_TRUE(found(b, InjectedBug::kConflictUnfinished));
  b.deaths = 1;
  EXPECT_TRUE(found(b, InjectedBug::kForgetfulKeeper));
  b.learns_at_once = true;
  EXPECT_TRUE(found(b, InjectedBug::kLivesIgnored));
  EXPECT_FALSE(found(b, InjectedBug::kNone));
  b.changes = 2;
  EXPECT_FALSE(found(b, InjectedBug::kNone));  // and nothing without one
}

}  // namespace
}  // namespace firvalve::consensus
