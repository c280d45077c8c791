// State-space search with two candidates for one lease. A proposal is committed in a single step; its result
// and the updates of watchers arrive at any time or never. The candidates' clock rates differ by the maximum
// allowed. They are ticked in any order and at any time; a paused process is one that is not ticked.

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
  int lease_thirds = 9;  // time that passes, in thirds of a lease
  int lost_results = 1;  // results reported as unknown
  bool has_job = false;  // a run-once job is submitted to both gateways
};

class TwoCandidatesState {
 public:
  struct Move {
    enum Kind { kAdvance, kTick, kCommit, kReport, kReportUnknown, kObserve, kObserveOld } kind = kAdvance;
    size_t gateway = 0;
  };
  static constexpr Ms kLease = 1000, kLeaseThird = kLease / 3;

  explicit TwoCandidatesState(const Bounds& bounds) : bounds_(bounds) {
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
      collect_output(gateway);
    }
  }
  // Copied by hand, because each RunOnceJobs must refer to the lease manager of its own copy.
  TwoCandidatesState(const TwoCandidatesState& other) { *this = other; }
  TwoCandidatesState& operator=(const TwoCandidatesState& other) {
    bounds_ = other.bounds_;
    managers_ = other.managers_;
    jobs_.clear();
    for (size_t gateway = 0; gateway < 2; ++gateway)
      jobs_.push_back(RunOnceJobs(other.jobs_[gateway], managers_[gateway]));
    ticked_at_ = other.ticked_at_;
    pending_ = other.pending_;
    results_ = other.results_;
    committed_ = other.committed_;
    lease_thirds_ = other.lease_thirds_;
    started_jobs_ = other.started_jobs_;
    return *this;
  }

  std::vector<Move> moves() const {
    std::vector<Move> out;
    if (lease_thirds_ < bounds_.lease_thirds) out.push_back({Move::kAdvance, 0});
    for (size_t gateway = 0; gateway < 2; ++gateway) {
      if (ticked_at_[gateway] < lease_thirds_) out.push_back({Move::kTick, gateway});
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
    const size_t gateway = move.gateway;
    switch (move.kind) {
      case Move::kAdvance:
        ++lease_thirds_;
        return;
      case Move::kTick:
        ticked_at_[gateway] = lease_thirds_;
        managers_[gateway].on_tick(local_time(gateway));
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
        managers_[gateway].on_result(local_time(gateway), result);
        break;
      }
      case Move::kObserve:
        managers_[gateway].observe(local_time(gateway), "merge:m", committed_.back());
        break;
      case Move::kObserveOld:
        managers_[gateway].observe(local_time(gateway), "merge:m", committed_[committed_.size() - 2]);
        break;
    }
    collect_output(gateway);
  }

  std::string describe(const Move& move) const {
    static const char* const kDescriptions[] = {
        "a third of a lease passes",    "is ticked",
        "has its change committed",     "gets its result",
        "gets an unknown result",       "observes the committed record",
        "observes the record before it"};
    return (move.kind == Move::kAdvance ? std::string()
            : move.gateway == 0         ? "a "
                                        : "b ") +
           kDescriptions[move.kind];
  }

  std::string digest() const {
    consensus::Digest digest;
    digest.add(lease_thirds_).add(started_jobs_).add(bounds_.lost_results);
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

  std::optional<std::string> find_violation() const {
    const auto first = managers_[0].active_epoch(local_time(0), "merge:m");
    const auto second = managers_[1].active_epoch(local_time(1), "merge:m");
    if (first && second)
      return "both are active, under " + std::to_string(*first) + " and " + std::to_string(*second);
    if (started_jobs_ > 1) return "the job was started twice";
    return {};
  }

 private:
  // One clock is slow and the other fast; their rates differ by about 1%.
  BootTime local_time(size_t gateway) const {
    return at(1 + lease_thirds_ * kLeaseThird * (gateway == 0 ? 0.9951 : 1.0049));
  }

  void collect_output(size_t gateway) {
    for (bool made_progress = true; made_progress;) {
      made_progress = false;
      for (const Event& event : managers_[gateway].take_events()) {
        made_progress = true;
        if (bounds_.has_job) jobs_[gateway].handle(local_time(gateway), event);
      }
      for (const auto& action : jobs_[gateway].take_actions())
        started_jobs_ += action.kind == RunOnceJobs::Action::Kind::kStart;
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
  int lease_thirds_ = 0, started_jobs_ = 0;
};

const size_t kMaxStates = state_limit();

simulation::SearchResult explore(const Bounds& bounds, size_t max_states) {
  return explore_and_print<TwoCandidatesState>(bounds, max_states);
}
bool random_walks_find_violation(const Bounds& bounds, InjectedBug bug) {
  return random_walks_find_violation<TwoCandidatesState>(bounds, bug, kMaxStates / 2);
}

TEST(ExploreLease, AtMostOneHolderIsActive) {
  const simulation::SearchResult out = explore({}, kMaxStates);
  EXPECT_FALSE(out.violation);
}

TEST(ExploreLease, RunOnceJobStartsAtMostOnce) {
  Bounds bounds;
  bounds.has_job = true;
  bounds.lease_thirds = 7;
  EXPECT_FALSE(explore(bounds, kMaxStates).violation);
}

TEST(ExploreLease, EachInjectedBugIsFound) {
  EXPECT_TRUE(random_walks_find_violation({}, InjectedBug::kLeaseFromResponse));
  EXPECT_TRUE(random_walks_find_violation({}, InjectedBug::kSkipTakeoverWait));
  Bounds bounds;
  bounds.has_job = true;
  EXPECT_TRUE(random_walks_find_violation(bounds, InjectedBug::kRecordIntentAfterStart));
  EXPECT_FALSE(random_walks_find_violation(bounds, InjectedBug::kNone));
}

}  // namespace
}  // namespace firvalve::lease
