// What happened in a run, as an outside observer saw it: the input of the rules checker and of reports.
// Written by the simulation's worlds, never by the module; its own words and types, so that a mistake in the
// core cannot hide in its record.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/units.h"

namespace firvalve::simulation {

struct HistoryEvent {
  enum class Kind : uint8_t {
    kTold,      // a gateway was told of an engine: `engine`, `state`; `at` is when it counts as told
    kStarted,   // an engine came up: cold from now on, unless `state` says that it is warm
    kFell,      // an engine fell over, pushed by work while cold
    kTaken,     // a command was taken: `command`, `profile`, `key`, `until` (its client's patience)
    kSent,      // a send of it began: `send`, `engine`
    kSendOver,  // a send ended: `how`
    kAnswered,  // its final answer: its rows
    kRefused,   // harmless to try again
    kFailed,
    kGone,         // its client went first: no answer is owed
    kGatewayDied,  // whatever it had taken has no answer and owes none
  };
  enum class State : uint8_t { kServing, kDraining, kDeleted };
  // What is known of a send once it is over.
  enum class How : uint8_t { kDone, kNeverRan, kMayHaveRun };

  Ms at = 0;
  Kind kind = Kind::kTaken;
  State state = State::kServing;
  How how = How::kDone;
  int16_t profile = -1;
  uint32_t gateway = 0, engine = 0;
  uint64_t command = 0, send = 0;
  uint64_t key = 0;  // 0: none
  Ms until = 0;
};
using History =
    std::vector<HistoryEvent>;  // by time; what happens at one moment in the order in which it did

// What a run's rules are. Ids of engines are places in `engines`.
struct RunRules {
  enum class Effect : uint8_t { kReplayable, kUniqued, kNonReplayable };
  enum class Group : uint8_t { kAll, kZone, kCell };
  struct Profile {
    std::string name;
    Effect effect = Effect::kReplayable;
    Ms window = 0;              // uniqued: repeats go within it after the first send that may have run
    Group group = Group::kAll;  // and to engines of the same group
    bool in_order = false;      // of one key, one after the other
    std::vector<std::string> zones, machines;  // where it may run; empty: anywhere
  };
  struct Engine {
    std::string zone, machine;
    int cell = 0;
  };
  std::vector<Profile> profiles;
  std::vector<Engine> engines;
  Ms answer_grace = 50;  // past a client's patience
  Ms drain_grace = 500;  // after a drain was told, sends still go out
  Ms key_rest = 0;       // after a send of a key ended unknown, none of it goes out
  // Further sends of a gateway in any window: at most so many, and a share of the commands taken in it. No
  // window: no limit.
  Ms budget_window = 0;
  double budget_free = 0, budget_share = 0;
};

}  // namespace firvalve::simulation
