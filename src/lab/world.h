// A world in virtual time: engines and clients as a model, and before them real gateways, that is the real
// src/core with the real module. No sockets, no clock; one thread a run, and the same seed gives the same
// history.
//
// What the model has: engines of several cores shared by all that they run, whose total work falls when too
// many threads want them; engines that go silent, and that die and come back; the list that tells of it late;
// a way of some milliseconds; clients that ask at random moments and wait for so long. What it has not yet:
// memory, disks, warm data, bad plans, cold engines that fall over, clients that ask again. Its figures are
// its own options, never the module's.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "lab/checker.h"
#include "lab/histogram.h"
#include "lab/history.h"

namespace firvalve::lab {

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
};

struct Trouble {
  enum class Kind { kSilent, kDies } kind = Kind::kSilent;
  Ms at = 0, lasts = 0;              // a dead engine comes back at the same place under a new id
  uint32_t engine = 0, engines = 1;  // so many from that one on
};

struct WorldOptions {
  uint64_t seed = 1;
  int engines = 8, gateways = 3;
  double cores = 8;
  double contention_from =
      1.5;  // threads a core past which total work falls, by `contention_loss` for each more
  double contention_loss = 0.1;
  double rate = 200;  // commands a second, all gateways together
  Ms length = 60000;
  Ms delay_least = 0.5, delay_most = 2;  // one way
  Ms list_delay = 2000;
  std::vector<WorldProfile> profiles;  // empty: a lookup, a report and a load
  std::vector<Trouble> troubles;
  bool keep_history = true;  // for the checker; a long run at large size has none
};

struct ProfileOutcome {
  uint64_t asked = 0, in_target = 0, late = 0, shed = 0, failed = 0;
  Histogram latency;  // of the answered
};

struct WorldOutcome {
  std::vector<ProfileOutcome> profiles;
  std::vector<std::string> names;
  uint64_t commands = 0, sends = 0, events = 0;
  uint64_t hash = 0;  // of every happening, in order
  double idle_shed =
      0;            // share of what was shed or failed while half of the engines' cores or more were idle
  Verdict verdict;  // of no history: empty
};

WorldOutcome play(const WorldOptions& options);

}  // namespace firvalve::lab
