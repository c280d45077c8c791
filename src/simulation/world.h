// A world in virtual time: engines and clients as a model, and before them real gateways, that is the real
// src/core with the real module. No sockets, no clock; one thread a run, and the same seed gives the same
// history.
//
// What the model always has: engines of several cores shared by all that they run, whose total work falls
// when too many threads want them; engines that go silent, and that die and come back; the list that tells of
// it late; a network delay of some milliseconds; clients that ask at random moments and wait for so long.
//
// What it has where the options switch it on (all off by default):
//   - engines with a bounded number of slots and a bounded queue; what finds both full is answered `full`
//   - connections: a gateway opens one for each call that finds no idle one and keeps it until the idle
//   close.
//     A handshake is work at the engine, one after the other; a connect that finds the queue for it or the
//     connection table full is refused, one that waits too long times out, and a fuller table takes a share
//     of the engine's capacity. An attempt that ends by its time-out costs its connection, and a cancellation
//     needs a second one, as in src/net
//   - clients that ask again, under a new id at the same gateway, after a refusal or a failure that can't
//     have changed anything, with exponential backoff and at most so often
//   - a burst of traffic that begins and ends
//   - notes of progress from the engines
//   - what a gateway gave up without a word runs on at its engine until it has been unasked for too long
//
// What it has not yet: memory, disks, warm data, bad plans, cold engines that fall over. Its figures are its
// own, never the module's.
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
  Ms work = 20;                  // mean, on one core; spread log-normally
  double spread = 0.8;           // of its logarithm
  double estimate_spread = 0.5;  // of the logarithm of estimate over work
  int threads = 1;
  Ms target = 500, timeout = 2000;
  double benefit = 1;
  double target_stretch = 0;  // times its work on an idle engine, added to the target
  bool estimated = true;      // whether gateways are told an estimate
};

// What goes wrong for a while, and then ends.
struct Trouble {
  enum class Kind {
    kSilent,  // the engines say nothing
    kDies,    // their processes are gone; each comes back at the same place under a new id
    kBurst,   // clients ask `factor` times as often
  } kind = Kind::kSilent;
  Ms at = 0, lasts = 0;
  uint32_t engine = 0, engines = 1;  // so many from that one on
  double factor = 1;
};

// Clients that ask again: what was refused, and what failed where its profile is replayable.
struct ClientRetryOptions {
  int most = 0;            // further asks a command
  double share = 1;        // of the clients
  Ms first_backoff = 100;  // doubles with each; drawn between half of it and all
};

struct WorldOptions {
  uint64_t seed = 1;
  int engines = 8, gateways = 3, zones = 1;
  EngineOptions engine;
  double rate = 200;  // commands a second, all gateways together
  Ms length = 60000;
  Ms delay_least = 0.5, delay_most = 2;  // of the network, one way
  Ms list_delay = 2000;
  Ms note_period = 0;      // between an engine's notes on an attempt; 0: none
  int attempts_most = 4;   // of a gateway for one command
  bool may_cancel = true;  // whether gateways may
  // How long an engine runs on with what its gateway gave up without a word, as at its client's time-out. 0:
  // it ends it at once, by the time that it was told.
  Ms unasked_most = 0;
  bool cancels_at_timeout = false;     // the gateway gives it up with a word
  std::vector<WorldProfile> profiles;  // empty: a lookup, a report and a load
  std::vector<Trouble> troubles;
  ClientRetryOptions client_retries;
  bool keep_history = true;  // for the checker; a long run at large size has none
};

// A fleet of many gateways to an engine, each with little traffic: for each size the same load an engine, 0.6
// of its capacity, and four commands a second a gateway. Short client timeouts, few attempts, no estimates,
// clients that ask again; all models above are on. Its figures lie within those of
// deploy/sites/delta-clinics.
WorldOptions crowded_fleet(int gateways);

struct ProfileOutcome {
  uint64_t asked = 0, in_target = 0, late = 0, shed = 0, failed = 0;
  Histogram latency;  // of the answered
};

// One second of a run.
struct WorldSecond {
  // Of the commands that clients first asked for in it: how many were answered in the end, and within the
  // target from that first ask on.
  uint64_t asked = 0, served = 0, in_target = 0;
  // What happened in it.
  uint64_t asked_again = 0;                                       // by clients
  uint64_t attempts = 0;                                          // by gateways at engines
  uint64_t full = 0, timed_out = 0, cancelled = 0, answered = 0;  // ends of attempts
  uint64_t connects = 0, connects_refused = 0, connects_timed_out = 0;
  // How things stood at its end.
  uint64_t in_hand = 0;              // commands at gateways, with no answer yet
  uint64_t running = 0, queued = 0;  // attempts at engines
  uint64_t connections = 0;          // open at engines
  uint64_t ejected = 0;              // pairs of a gateway and an engine that it holds for silent or failing
  double threads_per_core = 0;       // over all engines
};

struct WorldOutcome {
  std::vector<ProfileOutcome> profiles;
  std::vector<std::string> names;
  std::vector<WorldSecond> timeline;
  uint64_t commands = 0, attempts = 0, events = 0;
  uint64_t hash = 0;  // of every event, in order
  double idle_shed =
      0;            // share of what was shed or failed while half of the engines' cores or more were idle
  Verdict verdict;  // of no history: empty
};

// Of what clients first asked for from second `from` up to, not including, `until`: the share served, and the
// share served within the target.
double served_share(const WorldOutcome& outcome, size_t from, size_t until);
double in_target_share(const WorldOutcome& outcome, size_t from, size_t until);

// How long service took to come back: whole seconds from second `ends`, when the cause had gone, to the first
// five of which at least nine tenths of the share of the five before second `begins` were served within the
// target. None: not within the run.
std::optional<size_t> seconds_to_recover(const WorldOutcome& outcome, size_t begins, size_t ends);

WorldOutcome play(const WorldOptions& options);

}  // namespace firvalve::simulation
