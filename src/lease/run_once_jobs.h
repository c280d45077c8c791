// RunOnceJobs: runs a job at most once under its idempotency key, even if several clients call for it at
// several gateways, and decides the answer to each caller. It does no I/O, reads no clock and starts no
// threads.
//
// A gateway that gets a call campaigns for the key's lease. The holder records in the lease's state that the
// job is started, and starts it only after that is committed, so a later holder never starts it again, even
// if the first one has failed. If the job is proved never to have run (it was shed before any attempt), the
// state says so, and it may be started for the next caller. All callers get the outcome: the whole result,
// that the job completed but its result is not stored, that it failed, or that it may have run. A key is
// never reusable; running the job once more takes another key.
//
// This prevents a job from running twice. The cost: if a holder fails between the record and the first
// attempt, the job has not run and never will under that key.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "lease/lease_manager.h"
#include "lease/run_once_job.h"

namespace firvalve::lease {

class RunOnceJobs {
 public:
  using CallId = uint64_t;  // identifies a caller's call; assigned by the driver

  // Outcome of a run, as the driver reports it. kFailed: the job may have run.
  enum class RunOutcome : uint8_t { kCompleted, kFailed, kNeverRan };

  // An action that the driver must perform for a call.
  struct Action {
    enum class Kind : uint8_t {
      kStart,     // run the job for this call
      kComplete,  // answer the call with the rows
      kFail,      // answer the call with the error: the job ran or may have run
      kShed,      // answer the call that the job never ran and may be retried after retry_after
      kReject,    // answer the call with the error: the key belongs to another statement
    };
    Kind kind = Kind::kStart;
    std::string key;
    CallId call = 0;
    std::string rows;            // for kComplete
    std::string_view error;      // for kFail and kReject: the message to the client, in static storage
    Duration retry_after = 0ms;  // for kShed
  };

  RunOnceJobs(LeaseManager& leases, Incarnation incarnation) : leases_(leases), incarnation_(incarnation) {}
  // Copies `of`, but uses `leases`, a copy of its lease manager.
  RunOnceJobs(const RunOnceJobs& of, LeaseManager& leases)
      : leases_(leases),
        incarnation_(of.incarnation_),
        runs_started_(of.runs_started_),
        jobs_(of.jobs_),
        unstarted_run_ids_(of.unstarted_run_ids_),
        actions_(of.actions_) {}

  // Prefix of the names of job leases. Lease names are register keys, so it is part of the stored format.
  static constexpr std::string_view kLeasePrefix = "merge:";
  static std::string lease_name_of(const std::string& key) { return std::string(kLeasePrefix) + key; }

  // Adds a call for the job under `key`. `statement_hash` must not be 0. The call is answered by `deadline`.
  void submit(BootTime now, const std::string& key, CallId call, uint64_t statement_hash, BootTime deadline);
  // Drops a call whose caller no longer waits for the answer. A job that has started continues.
  void remove_call(BootTime now, CallId call);
  // Takes an event of the lease manager. Events of leases that belong to no job here have no effect.
  void handle(BootTime now, const Event& event);
  // Reports the outcome of the run that a kStart action requested. `rows` is for kCompleted, `retry_after`
  // for kNeverRan.
  void on_run_finished(BootTime now, const std::string& key, RunOutcome outcome, std::string rows,
                       Duration retry_after = 0ms);
  // Called at shutdown: no further job is started, and callers of jobs not started are answered at once.
  void stop_accepting();
  void on_tick(BootTime now);
  std::optional<BootTime> next_deadline() const;
  bool is_idle() const { return jobs_.empty(); }
  // Whether this gateway is running a job, or recording a start or an outcome.
  bool is_running() const;
  std::vector<Action> take_actions() { return std::exchange(actions_, {}); }
  std::string digest() const;  // state that determines future behaviour, for state-space searches

 private:
  enum class Step : uint8_t { kCampaign, kRecordStart, kRun, kRecordOutcome };
  struct WaitingCall {
    CallId call = 0;
    uint64_t statement_hash = 0;
    BootTime deadline;
  };
  struct Job {
    Step step = Step::kCampaign;
    std::vector<WaitingCall> calls;
    uint64_t run_id = 0;
    CallId running_call = 0;  // the call that the job was started for
    RunOnceJob outcome;
    bool has_unrecorded_outcome = false;  // `outcome` is not committed yet
  };
  using Jobs = std::map<std::string, Job>;  // keyed by idempotency key

  RunOnceJob recorded_job(const std::string& key) const;
  void advance_job(BootTime now, Jobs::iterator it);
  void record_start(BootTime now, Jobs::iterator it);
  void record_outcome(BootTime now, Jobs::iterator it);
  void on_start_recorded(BootTime now, Jobs::iterator it);
  void on_never_ran(BootTime now, Jobs::iterator it, Duration retry_after);
  void fail_call(const std::string& key, const WaitingCall& call, std::string_view error);
  void answer_callers(Jobs::iterator it, const RunOnceJob& outcome);
  void on_outcome_written(BootTime now, Jobs::iterator it, const Event& event);
  void remove_job(BootTime now, Jobs::iterator it);

  LeaseManager& leases_;
  Incarnation incarnation_ = 0;
  uint64_t runs_started_ = 0;
  Jobs jobs_;
  bool is_shutting_down_ = false;
  // Runs of this process that never started but may be recorded as started.
  std::set<uint64_t> unstarted_run_ids_;
  std::vector<Action> actions_;
};

}  // namespace firvalve::lease
