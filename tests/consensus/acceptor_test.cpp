#include "consensus/acceptor.h"

#include <gtest/gtest.h>

#include "consensus/proposer.h"

namespace firvalve::consensus {
namespace {

Message prepare(uint64_t number, const std::string& key = "k") {
  Message m;
  m.say = MessageType::kPrepare;
  m.op = number;
  m.key = key;
  m.ballot = {number, 7};
  return m;
}

Message accept(uint64_t number, uint64_t change, uint64_t version = 1) {
  Message m = prepare(number);
  m.say = MessageType::kAccept;
  m.fact.version = version;
  m.fact.change = change;
  m.fact.value = "v" + std::to_string(change);
  return m;
}

// Three keepers and whoever asks them, with nothing between: messages wait until they are carried.
class Record : public testing::Test {
 protected:
  Record() {
    for (PeerId p = 0; p < 3; ++p) keepers_.push_back(fresh(p, 100 + p));
    carry();
  }
  static Acceptor fresh(PeerId self, uint64_t chance) {
    AcceptorOptions t;
    t.self = self;
    return Acceptor(t, chance);
  }
  // Everything that is to be said among keepers until nothing is, times going on where nothing moves.
  void carry(Ms span = 3000) {
    for (Ms end = now_ + span; now_ < end; now_ += 50) {
      for (bool more = true; more;) {
        more = false;
        for (PeerId p = 0; p < keepers_.size(); ++p) {
          if (down_ == static_cast<int>(p)) continue;
          keepers_[p].due(now_);
          for (Envelope& e : keepers_[p].take().sends) {
            if (e.to >= keepers_.size()) {
              told_.push_back({p, e.message});
            } else if (down_ != static_cast<int>(e.to)) {
              keepers_[e.to].handle(now_, p, e.message);
              more = true;
            }
          }
        }
      }
    }
  }
  Message say(PeerId keeper, const Message& m) {
    keepers_[keeper].handle(now_, 9, m);
    const Step step = keepers_[keeper].take();
    return step.sends.empty() ? Message{} : step.sends.back().message;
  }
  ProposalResult ask(Proposal wish, const std::vector<PeerId>& reached = {0, 1, 2}) {
    Proposer asker({3, ++last_asker_, 1});
    wish.until = now_ + 1000;
    asker.ask(now_, wish);
    for (;;) {
      for (const Envelope& e : asker.take_sends()) {
        if (std::find(reached.begin(), reached.end(), e.to) == reached.end()) continue;
        keepers_[e.to].handle(now_, 9, e.message);
        for (const Envelope& answer : keepers_[e.to].take().sends) asker.handle(now_, e.to, answer.message);
      }
      const auto ends = asker.take_ends();
      if (!ends.empty()) return ends.front();
      now_ += 10;
      asker.due(now_);
    }
  }
  Proposal change(uint64_t id, uint64_t expected, const std::string& key = "k") {
    Proposal w;
    w.id = id;
    w.key = key;
    w.expected = expected;
    w.value = std::to_string(id);
    return w;
  }
  Proposal reading(const std::string& key = "k") {
    Proposal w;
    w.key = key;
    return w;
  }

  std::vector<Acceptor> keepers_;
  std::vector<std::pair<PeerId, Message>> told_;
  Ms now_ = 1;
  int down_ = -1;
  uint64_t last_asker_ = 40;
};

TEST_F(Record, ThreeThatHaveNothingBeginTogether) {
  for (const Acceptor& k : keepers_) EXPECT_TRUE(k.full());
  EXPECT_EQ(keepers_[0].standing().founders, keepers_[2].standing().founders);
}

TEST_F(Record, APromiseIsKept) {
  EXPECT_EQ(say(0, prepare(5)).say, MessageType::kPromise);
  EXPECT_EQ(say(0, prepare(4)).say, MessageType::kRefused);
  EXPECT_EQ(say(0, accept(4, 1)).say, MessageType::kRefused);
  EXPECT_EQ(say(0, accept(4, 1)).ballot.number, 5u);
  EXPECT_EQ(say(0, accept(5, 1)).say, MessageType::kAccepted);
  EXPECT_EQ(say(0, accept(5, 1)).say, MessageType::kAccepted);  // once more, as a repeated message
  EXPECT_EQ(say(0, prepare(6)).fact.change, 1u);
}

TEST_F(Record, AChangeStandsOnTheOneThatItNames) {
  EXPECT_EQ(ask(change(1, 0)).kind, ProposalResult::Kind::kAgreed);
  const ProposalResult second = ask(change(2, 0));
  EXPECT_EQ(second.kind, ProposalResult::Kind::kConflict);
  EXPECT_EQ(second.fact.change, 1u);
  EXPECT_EQ(ask(change(3, 1)).fact.version, 2u);
  const ProposalResult read = ask(reading());
  EXPECT_EQ(read.kind, ProposalResult::Kind::kRead);
  EXPECT_EQ(read.fact.value, "3");
  EXPECT_EQ(ask(reading("other")).fact.version, 0u);
}

TEST_F(Record, TheSameChangeAskedAgainIsMadeOnce) {
  EXPECT_EQ(ask(change(1, 0)).kind, ProposalResult::Kind::kAgreed);
  EXPECT_EQ(ask(change(1, 0)).fact.version, 1u);
  EXPECT_EQ(ask(change(2, 1)).kind, ProposalResult::Kind::kAgreed);
  const ProposalResult again = ask(change(1, 0));  // another has built on it since
  EXPECT_EQ(again.kind, ProposalResult::Kind::kAgreed);
  EXPECT_EQ(again.fact.change, 2u);
}

TEST_F(Record, TwoOfThreeAreEnoughAndOneIsNot) {
  EXPECT_EQ(ask(change(1, 0), {0, 1}).kind, ProposalResult::Kind::kAgreed);
  EXPECT_EQ(ask(reading(), {1, 2}).fact.change, 1u);
  EXPECT_EQ(ask(change(2, 1), {2}).kind, ProposalResult::Kind::kNoMajority);
  EXPECT_EQ(ask(reading()).fact.change, 1u);
}

TEST_F(Record, AKeeperWithoutAMemoryTakesPartOnlyOnceItHasLearnedAll) {
  for (int i = 0; i < 200; ++i)  // more than one page
    ASSERT_EQ(ask(change(1000u + static_cast<uint64_t>(i), 0, "k" + std::to_string(i)), {0, 1}).kind,
              ProposalResult::Kind::kAgreed);
  keepers_[1] = fresh(1, 77);
  EXPECT_EQ(say(1, prepare(900)).say, Message{}.say);  // no answer
  EXPECT_FALSE(keepers_[1].full());
  carry();
  EXPECT_TRUE(keepers_[1].full());
  EXPECT_EQ(keepers_[1].slots().size(), 200u);
  for (int i = 0; i < 200; i += 17) EXPECT_EQ(ask(reading("k" + std::to_string(i)), {1, 2}).fact.version, 1u);
  EXPECT_GT(keepers_[0].standing().lives[1], Incarnation{77});
}

TEST_F(Record, ItWaitsWhereTooFewAreLeftToLearnFrom) {
  keepers_[1] = fresh(1, 77);
  down_ = 2;
  carry();
  EXPECT_FALSE(keepers_[1].full());
  down_ = -1;
  carry();
  EXPECT_TRUE(keepers_[1].full());
}

TEST_F(Record, OneThatMissedTheBeginningTakesPartAtOnceWhereItPromisedNothing) {
  std::vector<Acceptor> fresh_three;
  for (PeerId p = 0; p < 3; ++p) fresh_three.push_back(fresh(p, 200 + p));
  keepers_ = std::move(fresh_three);
  // All three tell each other that they have nothing; then the last one hears of nobody.
  for (PeerId p = 0; p < 3; ++p) keepers_[p].due(now_);
  std::vector<std::pair<PeerId, Envelope>> asked;
  for (PeerId p = 0; p < 3; ++p)
    for (Envelope& e : keepers_[p].take().sends) asked.emplace_back(p, e);
  for (auto& [from, e] : asked) keepers_[e.to].handle(now_, from, e.message);
  for (PeerId p = 0; p < 3; ++p)
    for (Envelope& e : keepers_[p].take().sends)
      if (e.to != 2) keepers_[e.to].handle(now_, p, e.message);
  EXPECT_TRUE(keepers_[0].full());
  EXPECT_FALSE(keepers_[2].full());
  ask(change(1, 0), {0, 1});
  const Incarnation before = keepers_[2].standing().life;
  carry();
  EXPECT_TRUE(keepers_[2].full());
  EXPECT_EQ(keepers_[2].standing().life, before);  // the very one that was there at the beginning
}

TEST_F(Record, WithItsFolderItIsBackAtOnce) {
  ask(change(1, 0), {0, 1});
  AcceptorOptions t;
  t.self = 1;
  keepers_[1] = Acceptor(t, keepers_[1].standing(), keepers_[1].slots());
  EXPECT_TRUE(keepers_[1].full());
  EXPECT_EQ(ask(reading(), {1, 2}).fact.change, 1u);
}

TEST_F(Record, WritesThatFailedComeAgainAndTheirAnswersDoNot) {
  keepers_[0].handle(now_, 9, prepare(5));
  Step step = keepers_[0].take();
  EXPECT_EQ(step.writes.size(), 1u);
  keepers_[0].unwritten(std::move(step));
  const Step again = keepers_[0].take();
  EXPECT_EQ(again.writes.size(), 1u);
  EXPECT_TRUE(again.sends.empty());
}

TEST_F(Record, LookersHearOfUrgentChangesAtOnceAndOfOthersTogether) {
  Message look;
  look.say = MessageType::kLook;
  look.op = 1;
  EXPECT_EQ(say(0, look).say, MessageType::kChanges);  // who knows nothing is told what there is: nothing
  look.life = keepers_[0].standing().life;
  keepers_[0].handle(now_, 9, look);
  EXPECT_TRUE(keepers_[0].take().sends.empty());
  ask(change(1, 0), {0, 1});
  keepers_[0].due(now_);
  EXPECT_TRUE(keepers_[0].take().sends.empty());
  keepers_[0].due(now_ + 250);
  const Step told = keepers_[0].take();
  ASSERT_EQ(told.sends.size(), 1u);
  EXPECT_EQ(told.sends[0].message.entries.size(), 1u);
  look.since = told.sends[0].message.since;
  keepers_[0].handle(now_, 9, look);
  Proposal urgent = change(2, 1);
  urgent.urgent = true;
  ask(urgent, {0, 1});
  keepers_[0].due(now_);
  EXPECT_EQ(keepers_[0].take().sends.size(), 1u);
}

TEST_F(Record, LargeFactsComeInSeveralPagesAndTheirBytesAreLimited) {
  Proposal large;
  for (int i = 0; i < 12; ++i) {
    large = change(100 + static_cast<uint64_t>(i), 0, "large" + std::to_string(i));
    large.value.assign(100 * 1024, 'x');
    ASSERT_EQ(ask(large, {0, 1}).kind, ProposalResult::Kind::kAgreed);
  }
  keepers_[2] = fresh(2, 88);
  size_t most = 0;
  for (int turn = 0; turn < 100 && !keepers_[2].full(); ++turn, now_ += 50)
    for (PeerId p = 0; p < 3; ++p) {
      keepers_[p].due(now_);
      for (Envelope& e : keepers_[p].take().sends) {
        size_t bytes = 0;
        for (const auto& [key, slot] : e.message.entries) bytes += slot.fact.value.size();
        most = std::max(most, bytes);
        if (e.to < 3) keepers_[e.to].handle(now_, p, e.message);
      }
    }
  EXPECT_TRUE(keepers_[2].full());
  EXPECT_EQ(keepers_[2].slots().size(), 12u);
  EXPECT_LT(most, 500u * 1024);
  AcceptorOptions t;
  t.keepers = 1;
  t.bytes_most = 1000;
  Acceptor small(t, 5);
  Message m = accept(1, 1);
  m.fact.value.assign(900, 'x');
  small.handle(1, 9, m);
  m.key = "other";
  small.handle(1, 9, m);
  const Step step = small.take();
  EXPECT_EQ(step.sends[0].message.say, MessageType::kAccepted);
  EXPECT_EQ(step.sends[1].message.say, MessageType::kRefused);
  EXPECT_TRUE(step.sends[1].message.full);
}

TEST_F(Record, FactsAreLimited) {
  AcceptorOptions t;
  t.self = 0;
  t.keepers = 1;
  t.facts_most = 2;
  Acceptor one(t, 5);
  for (const char* key : {"a", "b", "c"}) one.handle(1, 9, prepare(1, key));
  const Step step = one.take();
  EXPECT_EQ(step.sends[1].message.say, MessageType::kPromise);
  EXPECT_EQ(step.sends[2].message.say, MessageType::kRefused);
  EXPECT_TRUE(step.sends[2].message.full);
}

}  // namespace
}  // namespace firvalve::consensus
