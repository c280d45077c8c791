// Two candidates for one lease, over registers that commit at once and whose results and updates come at any
// time or never, on clocks at both ends of what is allowed. Which of them is ticked next, and when, is left
// open: a paused process is one that is not ticked.

#include <gtest/gtest.h>

#include <map>

#include "consensus/digest.h"
#include "lease/lease_fixture.h"
#include "lease/lease_manager.h"
#include "lease/run_once_jobs.h"
#include "searching.h"

namespace firvalve::lease {
namespace {

struct Bounds {
  int thirds = 9;        // of a lease that pass
  int lost_results = 1;  // reported as unknown
  bool has_job = false;  // a run-once job is submitted to both
};

class Pair {
 public:
  struct Move {
    enum Kind { kPass, kTick, kCommit, kReport, kReportUnknown, kObserve, kObserveOld } kind = kPass;
    size_t who = 0;
  };
  static constexpr Ms kLease = 1000, kThird = kLease / 3;

  explicit Pair(const Bounds& bounds) : bounds_(bounds) {
    for (size_t i = 0; i < 2; ++i) {
      managers_.emplace_back(at(1), LeaseOptions{i == 0 ? "a" : "b", 1001 + i, duration_of(kLease)});
      managers_[i].on_synced(at(1));
      ticked_at_.push_back(-1);
      pending_.emplace_back();
      results_.emplace_back();
    }
    for (size_t i = 0; i < 2; ++i) jobs_.emplace_back(managers_[i], 1001 + i);
    for (size_t i = 0; i < 2; ++i) {
      if (bounds.has_job)
        jobs_[i].submit(at(1), "m", 1, 7, at(1e9));
      else
        managers_[i].campaign(at(1), "merge:m");
      settle(i);
    }
  }
  // The jobs refer to their own leases.
  Pair(const Pair& o) { *this = o; }
  Pair& operator=(const Pair& o) {
    bounds_ = o.bounds_;
    managers_ = o.managers_;
    jobs_.clear();
    for (size_t i = 0; i < 2; ++i) jobs_.push_back(RunOnceJobs(o.jobs_[i], managers_[i]));
    ticked_at_ = o.ticked_at_;
    pending_ = o.pending_;
    results_ = o.results_;
    committed_ = o.committed_;
    thirds_ = o.thirds_;
    started_ = o.started_;
    return *this;
  }

  std::vector<Move> moves() const {
    std::vector<Move> out;
    if (thirds_ < bounds_.thirds) out.push_back({Move::kPass, 0});
    for (size_t i = 0; i < 2; ++i) {
      if (ticked_at_[i] < thirds_) out.push_back({Move::kTick, i});
      if (!pending_[i].empty()) out.push_back({Move::kCommit, i});
      if (!results_[i].empty()) {
        out.push_back({Move::kReport, i});
        if (bounds_.lost_results > 0) out.push_back({Move::kReportUnknown, i});
      }
      if (!committed_.empty()) out.push_back({Move::kObserve, i});
      if (committed_.size() > 1) out.push_back({Move::kObserveOld, i});
    }
    return out;
  }

  void apply(const Move& m) {
    const size_t i = m.who;
    switch (m.kind) {
      case Move::kPass:
        ++thirds_;
        return;
      case Move::kTick:
        ticked_at_[i] = thirds_;
        managers_[i].on_tick(local(i));
        break;
      case Move::kCommit: {
        const consensus::Proposal proposal = pending_[i].front();
        pending_[i].erase(pending_[i].begin());
        consensus::Register current = committed_.empty() ? consensus::Register{} : committed_.back();
        const uint64_t version_before = current.version;
        const auto kind = compare_and_set(current, proposal);
        if (current.version > version_before) committed_.push_back(current);
        results_[i].push_back({kind, proposal, current, {}});
        return;
      }
      case Move::kReport:
      case Move::kReportUnknown: {
        consensus::ProposalResult result = results_[i].front();
        results_[i].erase(results_[i].begin());
        if (m.kind == Move::kReportUnknown) {
          --bounds_.lost_results;
          result.kind = consensus::ProposalResult::Kind::kUnknown;
        }
        managers_[i].on_result(local(i), result);
        break;
      }
      case Move::kObserve:
        managers_[i].observe(local(i), "merge:m", committed_.back());
        break;
      case Move::kObserveOld:
        managers_[i].observe(local(i), "merge:m", committed_[committed_.size() - 2]);
        break;
    }
    settle(i);
  }

  std::string told(const Move& m) const {
    static const char* const kTold[] = {"a third of a lease passes",    "is ticked",
                                        "has its change committed",     "gets its result",
                                        "gets an unknown result",       "observes the committed record",
                                        "observes the record before it"};
    return (m.kind == Move::kPass ? std::string() : m.who == 0 ? "a " : "b ") + kTold[m.kind];
  }

  std::string digest() const {
    consensus::Digest d;
    d.add(thirds_).add(started_).add(bounds_.lost_results);
    for (size_t i = 0; i < 2; ++i) {
      d.add(managers_[i].digest()).add(ticked_at_[i]).add(jobs_[i].digest());
      for (const consensus::Proposal& proposal : pending_[i])
        d.add(proposal.id).add(proposal.expected_change);
      for (const consensus::ProposalResult& e : results_[i])
        d.add(static_cast<uint8_t>(e.kind)).add(e.proposal.id).add(e.current);
    }
    if (!committed_.empty()) d.add(committed_.back());
    if (committed_.size() > 1) d.add(committed_[committed_.size() - 2]);
    return d.text();
  }

  std::optional<std::string> breach() const {
    const auto first = managers_[0].active_epoch(local(0), "merge:m");
    const auto second = managers_[1].active_epoch(local(1), "merge:m");
    if (first && second)
      return "both are active, under " + std::to_string(*first) + " and " + std::to_string(*second);
    if (started_ > 1) return "the job was started twice";
    return {};
  }

 private:
  // The one clock is slow and the other fast: one part in a hundred apart.
  BootTime local(size_t i) const { return at(1 + thirds_ * kThird * (i == 0 ? 0.9951 : 1.0049)); }

  void settle(size_t i) {
    for (bool more = true; more;) {
      more = false;
      for (const Event& e : managers_[i].take_events()) {
        more = true;
        if (bounds_.has_job) jobs_[i].handle(local(i), e);
      }
      for (const auto& a : jobs_[i].take_actions()) started_ += a.kind == RunOnceJobs::Action::Kind::kStart;
      for (const consensus::Proposal& proposal : managers_[i].take_proposals())
        pending_[i].push_back(proposal);
    }
  }

  Bounds bounds_;
  std::vector<LeaseManager> managers_;
  std::vector<RunOnceJobs> jobs_;
  std::vector<int> ticked_at_;
  std::vector<std::vector<consensus::Proposal>> pending_;
  std::vector<std::vector<consensus::ProposalResult>> results_;
  std::vector<consensus::Register> committed_;
  int thirds_ = 0, started_ = 0;
};

const size_t kMost = states_most();

simulation::Explored explore(const Bounds& bounds, size_t most) { return explored<Pair>(bounds, most); }
bool found(const Bounds& bounds, InjectedBug bug) { return walks_find<Pair>(bounds, bug, kMost / 2); }

TEST(ExploreLease, NeverTwoActiveHolders) {
  const simulation::Explored out = explore({}, kMost);
  EXPECT_FALSE(out.breach);
}

TEST(ExploreLease, ARunOnceJobStartsOnceAtMost) {
  Bounds b;
  b.has_job = true;
  b.thirds = 7;
  EXPECT_FALSE(explore(b, kMost).breach);
}

TEST(ExploreLease, EachInjectedBugIsFound) {
  EXPECT_TRUE(found({}, InjectedBug::kLeaseFromResponse));
  EXPECT_TRUE(found({}, InjectedBug::kSkipTakeoverWait));
  Bounds b;
  b.has_job = true;
  EXPECT_TRUE(found(b, InjectedBug::kRecordIntentAfterStart));
  EXPECT_FALSE(found(b, InjectedBug::kNone));
}

}  // namespace
}  // namespace firvalve::lease
