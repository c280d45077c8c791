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
    for (size_t gateway = 0; gateway < 2; ++gateway) {
      managers_.emplace_back(at(1),
                             LeaseOptions{gateway == 0 ? "a" : "b", 1001 + gateway, duration_of(kLease)});
      managers_[gateway].on_synced(at(1));
      ticked_at_.push_back(-1);
      pending_.emplace_back();
      results_.emplace_back();
    }
    for (size_t gateway = 0; gateway < 2; ++gateway) jobs_.emplace_back(managers_[gateway], 1001 + gateway);
    for (size_t gateway = 0; gateway < 2; ++gateway) {
      if (bounds.has_job)
        jobs_[gateway].submit(at(1), "m", 1, 7, at(1e9));
      else
        managers_[gateway].campaign(at(1), "merge:m");
      settle(gateway);
    }
  }
  // The jobs refer to their own leases.
  Pair(const Pair& other) { *this = other; }
  Pair& operator=(const Pair& other) {
    bounds_ = other.bounds_;
    managers_ = other.managers_;
    jobs_.clear();
    for (size_t gateway = 0; gateway < 2; ++gateway)
      jobs_.push_back(RunOnceJobs(other.jobs_[gateway], managers_[gateway]));
    ticked_at_ = other.ticked_at_;
    pending_ = other.pending_;
    results_ = other.results_;
    committed_ = other.committed_;
    thirds_ = other.thirds_;
    started_ = other.started_;
    return *this;
  }

  std::vector<Move> moves() const {
    std::vector<Move> out;
    if (thirds_ < bounds_.thirds) out.push_back({Move::kPass, 0});
    for (size_t gateway = 0; gateway < 2; ++gateway) {
      if (ticked_at_[gateway] < thirds_) out.push_back({Move::kTick, gateway});
      if (!pending_[gateway].empty()) out.push_back({Move::kCommit, gateway});
      if (!results_[gateway].empty()) {
        out.push_back({Move::kReport, gateway});
        if (bounds_.lost_results > 0) out.push_back({Move::kReportUnknown, gateway});
      }
      if (!committed_.empty()) out.push_back({Move::kObserve, gateway});
      if (committed_.size() > 1) out.push_back({Move::kObserveOld, gateway});
    }
    return out;
  }

  void apply(const Move& move) {
    const size_t gateway = move.who;
    switch (move.kind) {
      case Move::kPass:
        ++thirds_;
        return;
      case Move::kTick:
        ticked_at_[gateway] = thirds_;
        managers_[gateway].on_tick(local(gateway));
        break;
      case Move::kCommit: {
        const consensus::Proposal proposal = pending_[gateway].front();
        pending_[gateway].erase(pending_[gateway].begin());
        consensus::Register current = committed_.empty() ? consensus::Register{} : committed_.back();
        const uint64_t version_before = current.version;
        const auto kind = compare_and_set(current, proposal);
        if (current.version > version_before) committed_.push_back(current);
        results_[gateway].push_back({kind, proposal, current, {}});
        return;
      }
      case Move::kReport:
      case Move::kReportUnknown: {
        consensus::ProposalResult result = results_[gateway].front();
        results_[gateway].erase(results_[gateway].begin());
        if (move.kind == Move::kReportUnknown) {
          --bounds_.lost_results;
          result.kind = consensus::ProposalResult::Kind::kUnknown;
        }
        managers_[gateway].on_result(local(gateway), result);
        break;
      }
      case Move::kObserve:
        managers_[gateway].observe(local(gateway), "merge:m", committed_.back());
        break;
      case Move::kObserveOld:
        managers_[gateway].observe(local(gateway), "merge:m", committed_[committed_.size() - 2]);
        break;
    }
    settle(gateway);
  }

  std::string told(const Move& move) const {
    static const char* const kTold[] = {"a third of a lease passes",    "is ticked",
                                        "has its change committed",     "gets its result",
                                        "gets an unknown result",       "observes the committed record",
                                        "observes the record before it"};
    return (move.kind == Move::kPass ? std::string() : move.who == 0 ? "a " : "b ") + kTold[move.kind];
  }

  std::string digest() const {
    consensus::Digest digest;
    digest.add(thirds_).add(started_).add(bounds_.lost_results);
    for (size_t gateway = 0; gateway < 2; ++gateway) {
      digest.add(managers_[gateway].digest()).add(ticked_at_[gateway]).add(jobs_[gateway].digest());
      for (const consensus::Proposal& proposal : pending_[gateway])
        digest.add(proposal.id).add(proposal.expected_change);
      for (const consensus::ProposalResult& result : results_[gateway])
        digest.add(static_cast<uint8_t>(result.kind)).add(result.proposal.id).add(result.current);
    }
    if (!committed_.empty()) digest.add(committed_.back());
    if (committed_.size() > 1) digest.add(committed_[committed_.size() - 2]);
    return digest.text();
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
  BootTime local(size_t gateway) const { return at(1 + thirds_ * kThird * (gateway == 0 ? 0.9951 : 1.0049)); }

  void settle(size_t gateway) {
    for (bool more = true; more;) {
      more = false;
      for (const Event& event : managers_[gateway].take_events()) {
        more = true;
        if (bounds_.has_job) jobs_[gateway].handle(local(gateway), event);
      }
      for (const auto& action : jobs_[gateway].take_actions())
        started_ += action.kind == RunOnceJobs::Action::Kind::kStart;
      for (const consensus::Proposal& proposal : managers_[gateway].take_proposals())
        pending_[gateway].push_back(proposal);
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
  Bounds bounds;
  bounds.has_job = true;
  bounds.thirds = 7;
  EXPECT_FALSE(explore(bounds, kMost).breach);
}

TEST(ExploreLease, EachInjectedBugIsFound) {
  EXPECT_TRUE(found({}, InjectedBug::kLeaseFromResponse));
  EXPECT_TRUE(found({}, InjectedBug::kSkipTakeoverWait));
  Bounds bounds;
  bounds.has_job = true;
  EXPECT_TRUE(found(bounds, InjectedBug::kRecordIntentAfterStart));
  EXPECT_FALSE(found(bounds, InjectedBug::kNone));
}

}  // namespace
}  // namespace firvalve::lease
