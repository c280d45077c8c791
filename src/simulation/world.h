// Simulation of gateways, engines and clients in virtual time. The gateways are real (src/core with the real
// policy module); engines, clients and the network are models. No sockets, no clock; one thread a run, and
// the same seed gives the same history.
//
// Always modelled: engines whose cores are shared by all running attempts and whose throughput falls when too
// many threads compete; engines that become silent, or crash and restart; an endpoint list that reports this
// late; a network delay of some milliseconds; clients that send commands at random times with a timeout.
//
// Modelled if the options enable it (all off by default):
//   - engines with a bounded number of slots and a bounded queue; an attempt that finds both full is answered
//     `full`
//   - connections: a gateway opens one for each attempt that finds no idle one, and keeps it until the idle
//     timeout. Each handshake is work at the engine, one after the other. A connect is refused if the queue
//     for handshakes or the connection table is full, and times out if it waits too long; a fuller table
//     takes a larger share of the engine's capacity. An attempt that times out loses its connection, and a
//     cancellation needs a second connection, as in src/net
//   - client retries, under a new command id at the same gateway, after a rejection or a failure that cannot
//     have changed anything, with exponential backoff and a maximum number of retries
//   - a traffic burst that begins and ends
//   - progress reports from the engines
//   - attempts that a gateway gave up without a cancellation run on at their engine until its limit for
//     abandoned work
//
// Not modelled: memory, disks, warm data, bad plans, cold engines that fail under load. The parameters are
// the simulation's own and do not come from the policy module.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "simulation/engine_model.h"
#include "simulation/histogram.h"
#include "simulation/history.h"
#include "simulation/history_checker.h"

namespace firvalve::simulation {

struct WorldProfile {
  std::string name;
  RunRules::Effect effect = RunRules::Effect::kReplayable;
  double share = 1;              // of the commands
  Ms work = 20;                  // mean, on one core; log-normal distribution
  double spread = 0.8;           // standard deviation of the logarithm of the work
  double estimate_spread = 0.5;  // standard deviation of the logarithm of estimate / work
  int threads = 1;
  Ms target = 500, timeout = 2000;
  double benefit = 1;
  double target_stretch = 0;  // multiple of the run time on an idle engine that is added to the target
  bool has_estimate = true;   // commands carry an estimate of their work
};

// A temporary fault or burst.
struct WorldFault {
  enum class Kind {
    kSilent,  // the engines do no work and send nothing
    kCrash,   // the processes end; each engine restarts at the same address under a new id
    kBurst,   // clients send `factor` times as many commands
  } kind = Kind::kSilent;
  Ms at = 0, duration = 0;
  uint32_t engine = 0, engines = 1;  // first engine, and number of engines
  double factor = 1;
};

// Clients retry rejected commands, and failed ones whose profile is replayable.
struct ClientRetryOptions {
  int max_retries = 0;       // of a command
  double client_share = 1;   // clients that retry
  Ms initial_backoff = 100;  // doubles with each retry; the wait is random between half of it and all of it
};

struct WorldOptions {
  uint64_t seed = 1;
  int engines = 8, gateways = 3, zones = 1;
  EngineOptions engine;
  double rate = 200;  // commands a second, all gateways together
  Ms duration = 60000;
  Ms min_delay = 0.5, max_delay = 2;  // of the network, one way
  Ms list_delay = 2000;               // until a gateway receives a change of the endpoint list, at most
  Ms progress_period = 0;             // between an engine's progress reports on an attempt; 0: no reports
  int max_attempts = 4;               // for one command
  bool may_cancel = true;             // gateways may cancel attempts
  // How long an engine keeps running an attempt that its gateway gave up without a cancellation, as at the
  // client's timeout. 0: the engine ends it at the timeout.
  Ms max_abandoned_run = 0;
  bool cancels_at_timeout = false;     // the gateway sends a cancellation at the timeout
  std::vector<WorldProfile> profiles;  // empty: default lookup, report and load profiles
  std::vector<WorldFault> faults;
  ClientRetryOptions client_retries;
  bool keep_history = true;  // for the history checker; off for long runs of large systems, to save memory
};

// Many gateways per engine, each with little traffic: at every size the same load on each engine, 0.6 of its
// capacity, and four commands a second at each gateway. Short client timeouts, few attempts, no estimates,
// and client retries; all models above are enabled. The parameters are within those of
// deploy/sites/delta-clinics.
WorldOptions crowded_cluster(int gateways);

struct ProfileOutcome {
  uint64_t submitted = 0, in_target = 0, late = 0, shed = 0, failed = 0;
  Histogram latency;  // of answered commands
};

// One second of a run.
struct WorldSecond {
  // Commands that clients first submitted in this second; how many of them were answered later, and how many
  // within the target since their first submission.
  uint64_t submitted = 0, served = 0, in_target = 0;
  // Events in this second.
  uint64_t client_retries = 0;
  uint64_t attempts = 0;                                          // by gateways at engines
  uint64_t full = 0, timed_out = 0, cancelled = 0, answered = 0;  // ends of attempts
  uint64_t connects = 0, connects_refused = 0, connects_timed_out = 0;
  // State at the end of this second.
  uint64_t unanswered = 0;           // commands at gateways
  uint64_t running = 0, queued = 0;  // attempts at engines
  uint64_t connections = 0;          // open at engines
  uint64_t ejected = 0;              // pairs of a gateway and an engine that it has ejected
  double threads_per_core = 0;       // over all engines
};

struct WorldOutcome {
  std::vector<ProfileOutcome> profiles;
  std::vector<std::string> names;
  std::vector<WorldSecond> timeline;
  uint64_t commands = 0, attempts = 0, events = 0;
  uint64_t hash = 0;  // of all history events, in order
  // Share of the shed and failed commands that ended while at least half of the engines' cores were idle.
  double idle_shed = 0;
  Verdict verdict;  // empty without a history
};

// Share of the commands first submitted in seconds [`from`, `until`) that were served, and share that were
// served within the target.
double served_share(const WorldOutcome& outcome, size_t from, size_t until);
double in_target_share(const WorldOutcome& outcome, size_t from, size_t until);

// Recovery time in whole seconds after second `ends`, when the fault has ended: until the first five seconds
// in which the share served within the target is at least 0.9 of that in the five seconds before `begins`.
// None if the service does not recover within the run.
std::optional<size_t> seconds_to_recover(const WorldOutcome& outcome, size_t begins, size_t ends);

WorldOutcome play(const WorldOptions& options);

}  // namespace firvalve::simulation
