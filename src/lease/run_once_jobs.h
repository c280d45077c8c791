// RunOnceJobs: runs a job at most once under its idempotency key, however many gateways are asked for it by
// however many clients, and decides what each caller is answered. No I/O, clock or thread.
//
// A gateway that is asked campaigns for the key's lease. The holder records in the lease's state that the job
// is started, and starts it only once that is committed: so a later holder never starts it again, whatever
// became of the first one. Where the job is proved never to have run (it was shed before any attempt), the
// state says so, and the next caller's attempt may start. All callers get the end: the rows, that it failed,
// or that it may have run. A key is used up for ever; to run the job once more takes another key.
//
// It guards against a job that runs twice. It harms where a holder dies between its record and its first
// attempt: the job has not run, and nobody will run it under that key.
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
  using CallId = uint64_t;  // of a caller's call, as the driver numbers them

  enum class RunEnd : uint8_t { kCompleted, kFailed, kNeverRan };

  struct Action {
    enum class Kind : uint8_t {
      kStart,     // run the job for this call
      kComplete,  // answer it with the rows
      kFail,      // answer it with the error: the job may have run
      kShed,      // answer it that the job never ran, to be retried after retry_after
      kReject,    // answer it with the error: the key stands for another statement
    };
    Kind kind = Kind::kStart;
    std::string key;
    CallId call = 0;
    std::string rows;            // of kComplete
    std::string_view error;      // of kFail and kReject, to the client; of static storage
    Duration retry_after = 0ms;  // of kShed
  };

  RunOnceJobs(LeaseManager& leases, Incarnation incarnation) : leases_(leases), incarnation_(incarnation) {}
  // The same over a copy of its leases.
  RunOnceJobs(const RunOnceJobs& of, LeaseManager& leases)
      : leases_(leases),
        incarnation_(of.incarnation_),
        runs_started_(of.runs_started_),
        jobs_(of.jobs_),
        never_started_(of.never_started_),
        actions_(of.actions_) {}

  // Stored: the register's key of a job's lease.
  static constexpr std::string_view kLeasePrefix = "merge:";
  static std::string lease_name_of(const std::string& key) { return std::string(kLeasePrefix) + key; }

  // `statement_hash` is not 0. The call is answered by `deadline`.
  void submit(BootTime now, const std::string& key, CallId call, uint64_t statement_hash, BootTime deadline);
  // The caller waits no longer; a job that has started goes on.
  void on_caller_gone(BootTime now, CallId call);
  void handle(BootTime now, const Event& event);
  void on_run_finished(BootTime now, const std::string& key, RunEnd end, std::string rows,
                       Duration retry_after = 0ms);
  // This gateway shuts down: it starts no further job, and callers of those not started are answered at once.
  void stop_accepting();
  void on_tick(BootTime now);
  std::optional<BootTime> next_deadline() const;
  bool is_idle() const { return jobs_.empty(); }
  bool is_running() const;  // a job has started here and its end is not recorded
  std::vector<Action> take_actions() { return std::exchange(actions_, {}); }
  std::string digest() const;  // all that its future depends on, for searches over states

 private:
  enum class Step : uint8_t { kCampaign, kRecordStart, kRun, kRecordEnd };
  struct WaitingCall {
    CallId call = 0;
    uint64_t statement_hash = 0;
    BootTime deadline;
  };
  struct Job {
    Step step = Step::kCampaign;
    std::vector<WaitingCall> calls;
    uint64_t run_id = 0;
    CallId runs_for = 0;
    RunOnceJob end;
    bool owes_end = false;  // that end is not committed yet
  };
  using Jobs = std::map<std::string, Job>;  // by idempotency key

  RunOnceJob recorded(const std::string& key) const;
  void advance(BootTime now, Jobs::iterator at);
  void record_start(BootTime now, Jobs::iterator at);
  void record_end(BootTime now, Jobs::iterator at);
  void on_start_recorded(BootTime now, Jobs::iterator at);
  void on_never_ran(BootTime now, Jobs::iterator at, Duration retry_after);
  void fail(const std::string& key, const WaitingCall& call, std::string_view error);
  void answer_all(Jobs::iterator at, const RunOnceJob& end);
  void remove(BootTime now, Jobs::iterator at);

  LeaseManager& leases_;
  Incarnation incarnation_ = 0;
  uint64_t runs_started_ = 0;
  Jobs jobs_;
  bool is_shutting_down_ = false;
  std::set<uint64_t> never_started_;  // runs of this process that may be recorded as started and never were
  std::vector<Action> actions_;
};

}  // namespace firvalve::lease
