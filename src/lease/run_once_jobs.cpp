#include "lease/run_once_jobs.h"

#include <algorithm>

#include "base/injected_bug.h"
#include "consensus/digest.h"

namespace firvalve::lease {

namespace {

// What clients are answered.
constexpr std::string_view kMayHaveRun = "it may have run";
constexpr std::string_view kFailedMayHaveRun = "failed; it may have run";
constexpr std::string_view kOtherStatement = "another statement stands under this name";
// Another gateway may have started it meanwhile: no proof that it never ran.
constexpr std::string_view kShuttingDown = "this gateway ends; it may have run";

}  // namespace

void RunOnceJobs::submit(BootTime now, const std::string& key, CallId call, uint64_t statement_hash,
                         BootTime deadline) {
  if (is_shutting_down_) return fail(key, {call, statement_hash, deadline}, kShuttingDown);
  const auto at = jobs_.try_emplace(key).first;
  at->second.calls.push_back({call, statement_hash, deadline});
  leases_.campaign(now, lease_name_of(key));
  advance(now, at);
}

void RunOnceJobs::stop_accepting() {
  is_shutting_down_ = true;
  for (auto& [key, job] : jobs_) {
    if (job.step != Step::kCampaign) continue;
    for (const WaitingCall& waiting : job.calls) fail(key, waiting, kShuttingDown);
    job.calls.clear();
  }
}

void RunOnceJobs::on_caller_gone(BootTime now, CallId call) {
  for (auto at = jobs_.begin(); at != jobs_.end(); ++at) {
    Job& job = at->second;
    if (std::erase_if(job.calls, [call](const WaitingCall& each) { return each.call == call; }) == 0)
      continue;
    if (job.calls.empty() && job.step == Step::kCampaign && !job.owes_end) remove(now, at);
    return;
  }
}

void RunOnceJobs::fail(const std::string& key, const WaitingCall& call, std::string_view error) {
  actions_.push_back({Action::Kind::kFail, key, call.call, {}, error, {}});
}

void RunOnceJobs::answer_all(Jobs::iterator at, const RunOnceJob& end) {
  const std::string& key = at->first;
  for (const WaitingCall& waiting : at->second.calls) {
    if (end.statement_hash != 0 && waiting.statement_hash != end.statement_hash)
      actions_.push_back({Action::Kind::kReject, key, waiting.call, {}, kOtherStatement, {}});
    else if (end.stage == RunOnceJob::Stage::kCompleted)
      actions_.push_back({Action::Kind::kComplete, key, waiting.call, end.rows, {}, {}});
    else
      fail(key, waiting, end.stage == RunOnceJob::Stage::kFailed ? kFailedMayHaveRun : kMayHaveRun);
  }
  at->second.calls.clear();
}

void RunOnceJobs::remove(BootTime now, Jobs::iterator at) {
  const std::string lease = lease_name_of(at->first);
  jobs_.erase(at);
  leases_.set_in_use(now, lease, false);
  leases_.resign(now, lease);
}

RunOnceJob RunOnceJobs::recorded(const std::string& key) const {
  const LeaseRecord* const record = leases_.record(lease_name_of(key));
  return record ? decode_run_once_job(record->state) : RunOnceJob{};
}

// Takes the step that the recorded state allows here.
void RunOnceJobs::advance(BootTime now, Jobs::iterator at) {
  using Stage = RunOnceJob::Stage;
  Job& job = at->second;
  if (job.step != Step::kCampaign) return;
  const std::string lease = lease_name_of(at->first);
  const RunOnceJob stored = recorded(at->first);
  // Another holder has recorded an end or a start since: this one's is not wanted any more.
  if (stored.stage != Stage::kStarted || stored.run_id != job.run_id) job.owes_end = false;
  if (job.owes_end) {
    if (leases_.active_epoch(now, lease)) record_end(now, at);
    return;
  }
  if (stored.is_finished()) {
    answer_all(at, stored);
    return remove(now, at);
  }
  if (job.calls.empty()) return remove(now, at);
  if (!leases_.active_epoch(now, lease)) return;
  leases_.set_in_use(now, lease, true);
  if (stored.stage == Stage::kNone || never_started_.count(stored.run_id)) return record_start(now, at);
  // Started by a holder of which nothing is known any more: it may have run, for ever and for everybody.
  job.end = stored;
  job.end.stage = Stage::kUnknown;
  job.run_id = stored.run_id;
  answer_all(at, job.end);
  record_end(now, at);
}

void RunOnceJobs::record_start(BootTime now, Jobs::iterator at) {
  Job& job = at->second;
  RunOnceJob started;
  started.stage = RunOnceJob::Stage::kStarted;
  started.run_id = job.run_id = (incarnation_ << 16) + ++runs_started_;
  started.statement_hash = job.calls.front().statement_hash;
  never_started_.insert(job.run_id);
  job.step = Step::kRecordStart;
  if (!leases_.write_state(now, lease_name_of(at->first), encode(started))) {
    job.step = Step::kCampaign;
    return;
  }
  if (is_injected(InjectedBug::kRecordIntentAfterStart))
    actions_.push_back({Action::Kind::kStart, at->first, job.calls.front().call, {}, {}, {}});
}

void RunOnceJobs::handle(BootTime now, const Event& event) {
  if (!event.lease.starts_with(kLeasePrefix)) return;
  const auto at = jobs_.find(event.lease.substr(kLeasePrefix.size()));
  if (at == jobs_.end()) return;
  Job& job = at->second;
  const bool is_state_written = event.kind == Event::Kind::kStateWritten;
  if (is_state_written && job.step == Step::kRecordStart && event.is_committed)
    return on_start_recorded(now, at);
  if (is_state_written && job.step == Step::kRecordStart) {
    job.step = Step::kCampaign;
    return advance(now, at);
  }
  if (is_state_written && job.step == Step::kRecordEnd) {
    job.step = Step::kCampaign;
    job.owes_end = !event.is_committed;
    return advance(now, at);
  }
  if (event.kind == Event::Kind::kAcquired || event.kind == Event::Kind::kObserved) advance(now, at);
}

void RunOnceJobs::on_start_recorded(BootTime now, Jobs::iterator at) {
  Job& job = at->second;
  job.step = Step::kRun;
  if (job.calls.empty()) return on_run_finished(now, at->first, RunEnd::kNeverRan, {});
  never_started_.erase(job.run_id);
  job.runs_for = job.calls.front().call;
  if (!is_injected(InjectedBug::kRecordIntentAfterStart))
    actions_.push_back({Action::Kind::kStart, at->first, job.runs_for, {}, {}, {}});
}

// Callers here are answered at once: the end is known, whether or not it can be recorded.
void RunOnceJobs::on_run_finished(BootTime now, const std::string& key, RunEnd end, std::string rows,
                                  Duration retry_after) {
  const auto at = jobs_.find(key);
  if (at == jobs_.end()) return;
  Job& job = at->second;
  job.end = {};
  if (end == RunEnd::kNeverRan) return on_never_ran(now, at, retry_after);
  using Stage = RunOnceJob::Stage;
  job.end.stage = end == RunEnd::kCompleted ? Stage::kCompleted : Stage::kFailed;
  job.end.statement_hash = job.calls.empty() ? 0 : job.calls.front().statement_hash;
  if (const LeaseRecord* const record = leases_.record(lease_name_of(key)))
    job.end.statement_hash = decode_run_once_job(record->state).statement_hash;
  job.end.rows = std::move(rows);
  answer_all(at, job.end);
  if (job.end.rows.size() > kMaxStoredRowsBytes) job.end.rows.clear();
  record_end(now, at);
}

void RunOnceJobs::on_never_ran(BootTime now, Jobs::iterator at, Duration retry_after) {
  Job& job = at->second;
  const auto waiting = std::find_if(job.calls.begin(), job.calls.end(),
                                    [&](const WaitingCall& each) { return each.call == job.runs_for; });
  if (waiting != job.calls.end()) {
    actions_.push_back({Action::Kind::kShed, at->first, waiting->call, {}, {}, retry_after});
    job.calls.erase(waiting);
  }
  never_started_.insert(job.run_id);
  record_end(now, at);
}

void RunOnceJobs::record_end(BootTime now, Jobs::iterator at) {
  Job& job = at->second;
  const std::string lease = lease_name_of(at->first);
  job.step = Step::kRecordEnd;
  job.owes_end = true;
  leases_.set_in_use(now, lease, true);
  const bool is_none = job.end.stage == RunOnceJob::Stage::kNone;
  if (leases_.write_state(now, lease, is_none ? std::string() : encode(job.end))) return;
  // The lease is lost. The end is recorded if the lease is acquired again before another holder has recorded
  // that the job may have run.
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
      if (is_expired(waiting)) fail(key, waiting, kMayHaveRun);
    std::erase_if(job.calls, is_expired);
    if (job.calls.empty() && job.step == Step::kCampaign && !job.owes_end) unused.push_back(key);
  }
  for (const std::string& key : unused) remove(now, jobs_.find(key));
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
    digest.add(key).add(job.step).add(job.run_id).add(job.owes_end).add(job.calls.size());
    digest.add(job.end.stage);
  }
  for (const uint64_t run_id : never_started_) digest.add(run_id);
  return digest.text();
}

}  // namespace firvalve::lease
