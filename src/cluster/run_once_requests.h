// Handles clients' requests for run-once jobs. It stores each command until the outcome of the job is known,
// executes the command through the core if this gateway runs the job, and responds to the client.
// lease::RunOnceJobs decides whether and on which gateway a job runs.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "cluster/cluster_log.h"
#include "core/core.h"
#include "lease/run_once_jobs.h"

namespace firvalve::cluster {

// Must be used on the event loop's thread only.
class RunOnceRequests {
 public:
  RunOnceRequests(lease::RunOnceJobs& jobs, ResponseSink& clients, const ClusterLog& log)
      : jobs_(jobs), clients_(clients), log_(log) {}
  // Sets the core that executes the commands. Until it is set, a job to be run here ends as kNeverRan.
  void set_core(Core& core) { core_ = &core; }

  void submit(TimePoint now, CallId call, std::string_view job, CommandRequest&& command);
  void cancel(CallId call);  // after a client disconnect; ignores unknown calls
  // Starts commands and sends responses as the pending actions of RunOnceJobs require.
  void execute_actions(TimePoint now);

  // Records that a command in the core has ended. Returns false if the call does not execute a run-once job.
  bool finish_command(CallId call, lease::RunOnceJobs::RunOutcome outcome, std::string_view rows = {},
                      std::optional<Duration> retry_after = {});

  // Rejects new requests and those whose job has not started. `deadline` bounds the deadline of new requests.
  void begin_shutdown(TimePoint deadline);
  bool is_idle() const { return requests_.empty() && !jobs_.is_running(); }

 private:
  struct Request {
    std::string command, profile, statement;
    int64_t table_group = -1;  // negative: none
    TimePoint deadline;
    std::optional<Duration> estimated_work;
    double memory_mb = 0;
  };

  void start_job(TimePoint now, const lease::RunOnceJobs::Action& action);
  void respond(const lease::RunOnceJobs::Action& action);

  lease::RunOnceJobs& jobs_;
  ResponseSink& clients_;
  const ClusterLog& log_;
  Core* core_ = nullptr;
  std::map<CallId, Request> requests_;      // by call of the client
  std::map<CallId, std::string> started_;   // calls in the core that execute a job, with the job's name
  CallId last_started_{uint64_t{1} << 62};  // starts above the ids of client calls
  std::optional<TimePoint> shutdown_deadline_;
};

}  // namespace firvalve::cluster
