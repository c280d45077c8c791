// Clients' requests for run-once jobs: their commands are kept until the job's end is known, run through the
// core where it falls to this gateway to run one, and answered. Which gateway runs a job, and whether one
// may, is decided by lease::RunOnceJobs.
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

// Used on the loop's thread alone.
class RunOnceRequests {
 public:
  RunOnceRequests(lease::RunOnceJobs& jobs, ResponseSink& clients, const ClusterLog& log)
      : jobs_(jobs), clients_(clients), log_(log) {}
  // The core that runs the commands. Until it is set, a job that falls to this gateway never ran.
  void set_core(Core& core) { core_ = &core; }

  void request(TimePoint now, CallId call, std::string_view job, CommandRequest&& command);
  void cancel(CallId call);  // its client waits no longer; of another call: nothing happens
  // Starts the commands and gives the answers that the jobs call for now.
  void execute_actions(TimePoint now);

  // The command behind a call of the core's has ended. False: the call is no run-once job's.
  bool finish(CallId call, lease::RunOnceJobs::RunOutcome end, std::string_view rows = {},
              std::optional<Duration> retry_after = {});

  // Requests end by then, whatever their clients said.
  void begin_shutdown(TimePoint deadline);
  bool is_idle() const { return requests_.empty() && !jobs_.is_running(); }

 private:
  struct Request {
    std::string command, profile, statement;
    int64_t table_group = -1;  // below 0: none
    TimePoint deadline;
    std::optional<Duration> estimated_work;
    double memory_mb = 0;
  };

  void start(TimePoint now, const lease::RunOnceJobs::Action& action);
  void respond(const lease::RunOnceJobs::Action& action);

  lease::RunOnceJobs& jobs_;
  ResponseSink& clients_;
  const ClusterLog& log_;
  Core* core_ = nullptr;
  std::map<CallId, Request> requests_;      // of clients, by their calls
  std::map<CallId, std::string> started_;   // the core's calls that run a job, with its name
  CallId last_started_{uint64_t{1} << 62};  // above any client's call
  std::optional<TimePoint> shutdown_deadline_;
};

}  // namespace firvalve::cluster
