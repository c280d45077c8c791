#include "lease/run_once_jobs.h"

#include <algorithm>

#include "base/injected_bug.h"
#include "consensus/digest.h"

namespace firvalve::lease {

namespace {

// Error messages to clients.
constexpr std::string_view kMayHaveRun = "it may have run";
constexpr std::string_view kFailedMayHaveRun = "failed; it may have run";
constexpr std::string_view kResultNotStored = "it has completed; its result is not stored";
constexpr std::string_view kOtherStatement = "another statement stands under this name";
// Another gateway may have started the job in the meantime, so this gateway cannot say that it never ran.
constexpr std::string_view kShuttingDown = "this gateway ends; it may have run";

// The error for callers of a finished job that has no result to return.
std::string_view error_of(RunOnceJob::Stage stage) {
  if (stage == RunOnceJob::Stage::kFailed) return kFailedMayHaveRun;
  if (stage == RunOnceJob::Stage::kCompletedWithoutResult) return kResultNotStored;
  return kMayHaveRun;
}

void drop_result(RunOnceJob& job) {
  job.stage = RunOnceJob::Stage::kCompletedWithoutResult;
  job.rows.clear();
}

}  // namespace

void RunOnceJobs::submit(BootTime now, const std::string& key, CallId call, uint64_t statement_hash,
                         BootTime deadline) {
  if (is_shutting_down_) return fail_call(key, {call, statement_hash, deadline}, kShuttingDown);
  const auto it = jobs_.try_emplace(key).first;
  it->second.calls.push_back({call, statement_hash, deadline});
  leases_.campaign(now, lease_name_of(key));
  advance_job(now, it);
}

void RunOnceJobs::stop_accepting() {
  is_shutting_down_ = true;
  for (auto& [key, job] : jobs_) {
    if (job.step != Step::kCampaign) continue;
    for (const WaitingCall& waiting : job.calls) fail_call(key, waiting, kShuttingDown);
    job.calls.clear();
  }
}

void RunOnceJobs::remove_call(BootTime now, CallId call) {
  for (auto it = jobs_.begin(); it != jobs_.end(); ++it) {
    Job& job = it->second;
    if (std::erase_if(job.calls, [call](const WaitingCall& each) { return each.call == call; }) == 0)
      continue;
    if (job.calls.empty() && job.step == Step::kCampaign && !job.has_unrecorded_outcome) remove_job(now, it);
    return;
  }
}

void RunOnceJobs::fail_call(const std::string& key, const WaitingCall& call, std::string_view error) {
  actions_.push_back({Action::Kind::kFail, key, call.call, {}, error, {}});
}

void RunOnceJobs::answer_callers(Jobs::iterator it, const RunOnceJob& outcome) {
  const std::string& key = it->first;
  for (const WaitingCall& waiting : it->second.calls) {
    if (outcome.statement_hash != 0 && waiting.statement_hash != outcome.statement_hash)
      actions_.push_back({Action::Kind::kReject, key, waiting.call, {}, kOtherStatement, {}});
    else if (outcome.stage == RunOnceJob::Stage::kCompleted)
      actions_.push_back({Action::Kind::kComplete, key, waiting.call, outcome.rows, {}, {}});
    else
      fail_call(key, waiting, error_of(outcome.stage));
  }
  it->second.calls.clear();
}

void RunOnceJobs::remove_job(BootTime now, Jobs::iterator it) {
  const std::string lease = lease_name_of(it->first);
  jobs_.erase(it);
  leases_.set_in_use(now, lease, false);
  leases_.resign(now, lease);
}

RunOnceJob RunOnceJobs::recorded_job(const std::string& key) const {
  const LeaseRecord* const record = leases_.record(lease_name_of(key));
  return record ? decode_run_once_job(record->state) : RunOnceJob{};
}

// Takes the next step that the recorded state of the job and the state of its lease allow.
void RunOnceJobs::advance_job(BootTime now, Jobs::iterator it) {
  using Stage = RunOnceJob::Stage;
  Job& job = it->second;
  if (job.step != Step::kCampaign) return;
  const std::string lease = lease_name_of(it->first);
  const RunOnceJob stored = recorded_job(it->first);
  // Another outcome or start was recorded since: the outcome of this gateway's run is obsolete.
  if (stored.stage != Stage::kStarted || stored.run_id != job.run_id) job.has_unrecorded_outcome = false;
  if (job.has_unrecorded_outcome) {
    if (leases_.active_epoch(now, lease)) record_outcome(now, it);
    return;
  }
  if (stored.is_finished()) {
    answer_callers(it, stored);
    return remove_job(now, it);
  }
  if (job.calls.empty()) return remove_job(now, it);
  if (!leases_.active_epoch(now, lease)) return;
  leases_.set_in_use(now, lease, true);
  if (stored.stage == Stage::kNone || unstarted_run_ids_.count(stored.run_id)) return record_start(now, it);
  // Started by a holder that lost the lease without recording an outcome: record that it may have run.
  job.outcome = stored;
  job.outcome.stage = Stage::kUnknown;
  job.run_id = stored.run_id;
  answer_callers(it, job.outcome);
  record_outcome(now, it);
}

void RunOnceJobs::record_start(BootTime now, Jobs::iterator it) {
  Job& job = it->second;
  RunOnceJob started;
  started.stage = RunOnceJob::Stage::kStarted;
  started.run_id = job.run_id = (incarnation_ << 16) + ++runs_started_;
  started.statement_hash = job.calls.front().statement_hash;
  unstarted_run_ids_.insert(job.run_id);
  job.step = Step::kRecordStart;
  if (!leases_.write_state(now, lease_name_of(it->first), encode(started))) {
    job.step = Step::kCampaign;
    return;
  }
  if (is_injected(InjectedBug::kRecordIntentAfterStart))
    actions_.push_back({Action::Kind::kStart, it->first, job.calls.front().call, {}, {}, {}});
}

void RunOnceJobs::handle(BootTime now, const Event& event) {
  if (!event.lease.starts_with(kLeasePrefix)) return;
  const auto it = jobs_.find(event.lease.substr(kLeasePrefix.size()));
  if (it == jobs_.end()) return;
  Job& job = it->second;
  const bool is_state_written = event.kind == Event::Kind::kStateWritten;
  if (is_state_written && job.step == Step::kRecordStart && event.is_committed)
    return on_start_recorded(now, it);
  if (is_state_written && job.step == Step::kRecordStart) {
    job.step = Step::kCampaign;
    return advance_job(now, it);
  }
  if (is_state_written && job.step == Step::kRecordOutcome) return on_outcome_written(now, it, event);
  if (event.kind == Event::Kind::kAcquired || event.kind == Event::Kind::kObserved) advance_job(now, it);
}

void RunOnceJobs::on_start_recorded(BootTime now, Jobs::iterator it) {
  Job& job = it->second;
  job.step = Step::kRun;
  if (job.calls.empty()) return on_run_finished(now, it->first, RunOutcome::kNeverRan, {});
  unstarted_run_ids_.erase(job.run_id);
  job.running_call = job.calls.front().call;
  if (!is_injected(InjectedBug::kRecordIntentAfterStart))
    actions_.push_back({Action::Kind::kStart, it->first, job.running_call, {}, {}, {}});
}

// A result for which the replicas have no space is not stored, but the job's end is.
void RunOnceJobs::on_outcome_written(BootTime now, Jobs::iterator it, const Event& event) {
  Job& job = it->second;
  job.step = Step::kCampaign;
  job.has_unrecorded_outcome = !event.is_committed;
  if (event.is_out_of_space && job.outcome.stage == RunOnceJob::Stage::kCompleted) drop_result(job.outcome);
  advance_job(now, it);
}

// Callers at this gateway are answered at once: the outcome is known here even if it cannot be recorded.
void RunOnceJobs::on_run_finished(BootTime now, const std::string& key, RunOutcome outcome, std::string rows,
                                  Duration retry_after) {
  const auto it = jobs_.find(key);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  job.outcome = {};
  if (outcome == RunOutcome::kNeverRan) return on_never_ran(now, it, retry_after);
  using Stage = RunOnceJob::Stage;
  job.outcome.stage = outcome == RunOutcome::kCompleted ? Stage::kCompleted : Stage::kFailed;
  job.outcome.statement_hash = job.calls.empty() ? 0 : job.calls.front().statement_hash;
  if (const LeaseRecord* const record = leases_.record(lease_name_of(key)))
    job.outcome.statement_hash = decode_run_once_job(record->state).statement_hash;
  job.outcome.rows = std::move(rows);
  answer_callers(it, job.outcome);
  if (job.outcome.rows.size() > kMaxStoredRowsBytes) drop_result(job.outcome);
  record_outcome(now, it);
}

void RunOnceJobs::on_never_ran(BootTime now, Jobs::iterator it, Duration retry_after) {
  Job& job = it->second;
  const auto waiting = std::find_if(job.calls.begin(), job.calls.end(),
                                    [&](const WaitingCall& each) { return each.call == job.running_call; });
  if (waiting != job.calls.end()) {
    actions_.push_back({Action::Kind::kShed, it->first, waiting->call, {}, {}, retry_after});
    job.calls.erase(waiting);
  }
  unstarted_run_ids_.insert(job.run_id);
  record_outcome(now, it);
}

void RunOnceJobs::record_outcome(BootTime now, Jobs::iterator it) {
  Job& job = it->second;
  const std::string lease = lease_name_of(it->first);
  job.step = Step::kRecordOutcome;
  job.has_unrecorded_outcome = true;
  leases_.set_in_use(now, lease, true);
  const bool is_none = job.outcome.stage == RunOnceJob::Stage::kNone;
  if (leases_.write_state(now, lease, is_none ? std::string() : encode(job.outcome))) return;
  // The lease is lost. The outcome is recorded if this gateway acquires the lease again before another holder
  // has recorded that the job may have run.
  job.step = Step::kCampaign;
  leases_.set_in_use(now, lease, false);
}

bool RunOnceJobs::is_running() const {
  return std::any_of(jobs_.begin(), jobs_.end(),
                     [](const auto& each) { return each.second.step != Step::kCampaign; });
}

void RunOnceJobs::on_tick(BootTime now) {
  std::vector<std::string> unused;
  for (auto& [key, job] : jobs_) {
    const auto is_expired = [now](const WaitingCall& waiting) { return waiting.deadline <= now; };
    for (const WaitingCall& waiting : job.calls)
      if (is_expired(waiting)) fail_call(key, waiting, kMayHaveRun);
    std::erase_if(job.calls, is_expired);
    if (job.calls.empty() && job.step == Step::kCampaign && !job.has_unrecorded_outcome)
      unused.push_back(key);
  }
  for (const std::string& key : unused) remove_job(now, jobs_.find(key));
}

std::optional<BootTime> RunOnceJobs::next_deadline() const {
  std::optional<BootTime> next;
  for (const auto& [key, job] : jobs_)
    for (const WaitingCall& waiting : job.calls) next = earlier_of(next, std::optional(waiting.deadline));
  return next;
}

std::string RunOnceJobs::digest() const {
  consensus::Digest digest;
  for (const auto& [key, job] : jobs_) {
    digest.add(key).add(job.step).add(job.run_id).add(job.has_unrecorded_outcome).add(job.calls.size());
    digest.add(job.outcome.stage);
  }
  for (const uint64_t run_id : unstarted_run_ids_) digest.add(run_id);
  return digest.text();
}

}  // namespace firvalve::lease
