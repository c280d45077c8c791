// Two that want one duty, over a record that agrees at once and whose answers and sights come at any time or
// never, on clocks at both ends of what is allowed. Which of them is looked after next, and when, is left
// open: a process that stands still is one that is not looked after.

#include <gtest/gtest.h>

#include <map>

#include "consensus/digest.h"
#include "lease/lease_manager.h"
#include "lease/run_once_jobs.h"
#include "searching.h"

namespace firvalve::lease {
namespace {

struct Bounds {
  int ticks = 9;         // of a third of a lease each
  int lost_answers = 1;  // ends that are told as unknown
  bool merge = false;    // a load under a name is asked of both
};

class Pair {
 public:
  struct Move {
    enum Kind { kTick, kLook, kAgree, kTell, kTellUnknown, kSee, kSeeOld } kind = kTick;
    size_t who = 0;
  };
  static constexpr Ms kLease = 1000, kTick = kLease / 3;

  explicit Pair(const Bounds& bounds) : bounds_(bounds) {
    for (size_t i = 0; i < 2; ++i) {
      duties_.emplace_back(1, LeaseOptions{i == 0 ? "a" : "b", 1001 + i, kLease});
      duties_[i].looked(1);
      looked_.push_back(-1);
      pending_.emplace_back();
      ready_.emplace_back();
    }
    for (size_t i = 0; i < 2; ++i) merges_.emplace_back(duties_[i], 1001 + i);
    for (size_t i = 0; i < 2; ++i) {
      if (bounds.merge)
        merges_[i].ask(1, "m", 1, 7, 1e9);
      else
        duties_[i].want(1, "merge:m");
      settle(i);
    }
  }
  // The merges refer to their own duties.
  Pair(const Pair& o) { *this = o; }
  Pair& operator=(const Pair& o) {
    bounds_ = o.bounds_;
    duties_ = o.duties_;
    merges_.clear();
    for (size_t i = 0; i < 2; ++i) merges_.push_back(RunOnceJobs(o.merges_[i], duties_[i]));
    looked_ = o.looked_;
    pending_ = o.pending_;
    ready_ = o.ready_;
    facts_ = o.facts_;
    ticks_ = o.ticks_;
    begun_ = o.begun_;
    return *this;
  }

  std::vector<Move> moves() const {
    std::vector<Move> out;
    if (ticks_ < bounds_.ticks) out.push_back({Move::kTick, 0});
    for (size_t i = 0; i < 2; ++i) {
      if (looked_[i] < ticks_) out.push_back({Move::kLook, i});
      if (!pending_[i].empty()) out.push_back({Move::kAgree, i});
      if (!ready_[i].empty()) {
        out.push_back({Move::kTell, i});
        if (bounds_.lost_answers > 0) out.push_back({Move::kTellUnknown, i});
      }
      if (!facts_.empty()) out.push_back({Move::kSee, i});
      if (facts_.size() > 1) out.push_back({Move::kSeeOld, i});
    }
    return out;
  }

  void apply(const Move& m) {
    const size_t i = m.who;
    switch (m.kind) {
      case Move::kTick:
        ++ticks_;
        return;
      case Move::kLook:
        looked_[i] = ticks_;
        duties_[i].due(local(i));
        break;
      case Move::kAgree: {
        const consensus::Proposal w = pending_[i].front();
        pending_[i].erase(pending_[i].begin());
        consensus::ProposalResult end{consensus::ProposalResult::Kind::kConflict, w, {}, 0};
        consensus::Register now = facts_.empty() ? consensus::Register{} : facts_.back();
        if (now.version > 0 && now.made(w.id)) {
          end.kind = consensus::ProposalResult::Kind::kAgreed;
        } else if (now.change == w.expected) {
          if (now.version > 0) now.before.insert(now.before.begin(), now.change);
          ++now.version;
          now.change = w.id;
          now.value = w.value;
          facts_.push_back(now);
          end.kind = consensus::ProposalResult::Kind::kAgreed;
        }
        end.fact = now;
        ready_[i].push_back(end);
        return;
      }
      case Move::kTell:
      case Move::kTellUnknown: {
        consensus::ProposalResult end = ready_[i].front();
        ready_[i].erase(ready_[i].begin());
        if (m.kind == Move::kTellUnknown) {
          --bounds_.lost_answers;
          end.kind = consensus::ProposalResult::Kind::kUnknown;
        }
        duties_[i].ended(local(i), end);
        break;
      }
      case Move::kSee:
        duties_[i].saw(local(i), "merge:m", facts_.back());
        break;
      case Move::kSeeOld:
        duties_[i].saw(local(i), "merge:m", facts_[facts_.size() - 2]);
        break;
    }
    settle(i);
  }

  std::string told(const Move& m) const {
    static const char* const kTold[] = {
        "a third of a lease passes", "is looked after",  "has its change agreed", "is told",
        "is told nothing certain",   "sees what stands", "sees what stood"};
    return (m.kind == Move::kTick ? std::string() : m.who == 0 ? "a " : "b ") + kTold[m.kind];
  }

  std::string digest() const {
    consensus::Digest d;
    d.add(ticks_).add(begun_).add(bounds_.lost_answers);
    for (size_t i = 0; i < 2; ++i) {
      d.add(duties_[i].digest()).add(looked_[i]).add(merges_[i].digest());
      for (const consensus::Proposal& w : pending_[i]) d.add(w.id).add(w.expected);
      for (const consensus::ProposalResult& e : ready_[i])
        d.add(static_cast<uint8_t>(e.kind)).add(e.wish.id).add(e.fact);
    }
    if (!facts_.empty()) d.add(facts_.back());
    if (facts_.size() > 1) d.add(facts_[facts_.size() - 2]);
    return d.text();
  }

  std::optional<std::string> breach() const {
    const auto a = duties_[0].may_act(local(0), "merge:m"), b = duties_[1].may_act(local(1), "merge:m");
    if (a && b) return "both may act, under " + std::to_string(*a) + " and " + std::to_string(*b);
    if (begun_ > 1) return "the load was begun twice";
    return {};
  }

 private:
  // The holder's clock is slow, who waits has a fast one: one part in a hundred apart.
  Ms local(size_t i) const { return 1 + ticks_ * kTick * (i == 0 ? 0.9951 : 1.0049); }

  void settle(size_t i) {
    for (bool more = true; more;) {
      more = false;
      for (const Event& e : duties_[i].take_events()) {
        more = true;
        if (bounds_.merge) merges_[i].handle(local(i), e);
      }
      for (const auto& a : merges_[i].take_actions()) begun_ += a.kind == RunOnceJobs::Action::Kind::kStart;
      for (const consensus::Proposal& w : duties_[i].take_wishes()) pending_[i].push_back(w);
    }
  }

  Bounds bounds_;
  std::vector<LeaseManager> duties_;
  std::vector<RunOnceJobs> merges_;
  std::vector<int> looked_;
  std::vector<std::vector<consensus::Proposal>> pending_;
  std::vector<std::vector<consensus::ProposalResult>> ready_;
  std::vector<consensus::Register> facts_;
  int ticks_ = 0, begun_ = 0;
};

const size_t kMost = states_most();

simulation::Explored explore(const Bounds& bounds, size_t most) { return explored<Pair>(bounds, most); }
bool found(const Bounds& bounds, InjectedBug flaw) { return walks_find<Pair>(bounds, flaw, kMost / 2); }

TEST(ExploreDuty, NeverTwoThatMayAct) {
  const simulation::Explored out = explore({}, kMost);
  EXPECT_FALSE(out.breach);
}

TEST(ExploreDuty, ANamedLoadBeginsOnceAtMost) {
  Bounds b;
  b.merge = true;
  b.ticks = 7;
  EXPECT_FALSE(explore(b, kMost).breach);
}

TEST(ExploreDuty, EachPlantedFlawIsFound) {
  EXPECT_TRUE(found({}, InjectedBug::kLeaseFromAnswer));
  EXPECT_TRUE(found({}, InjectedBug::kNoWait));
  Bounds b;
  b.merge = true;
  EXPECT_TRUE(found(b, InjectedBug::kIntentAfterSend));
  EXPECT_FALSE(found(b, InjectedBug::kNone));
}

}  // namespace
}  // namespace firvalve::lease
