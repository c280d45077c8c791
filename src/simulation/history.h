// History of a simulation run as an outside observer sees it: the input of the history checker and of
// reports. Only the simulation writes it. It shares no type with the core or the policy module, so that a
// fault in them cannot hide in the history.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/units.h"

namespace firvalve::simulation {

struct HistoryEvent {
  enum class Kind : uint8_t {
    kListed,       // a gateway received the state of an engine: `engine`, `state`; in force from `at` on
    kStarted,      // an engine started and is cold
    kFell,         // an engine failed under load while it was cold
    kTaken,        // a gateway admitted a command: `command`, `profile`, `key`, `until` (client deadline)
    kSent,         // an attempt of the command started: `send`, `engine`
    kSendOver,     // an attempt ended: `how`
    kAnswered,     // final answer: the result
    kRefused,      // final answer: rejected, and a retry is safe
    kFailed,       // final answer: an error
    kGone,         // the client disconnected before the answer: none is required
    kGatewayDied,  // no answer is required for the commands that the gateway had admitted
  };
  enum class State : uint8_t { kServing, kDraining, kDeleted };
  // What is known about an attempt after its end.
  enum class AttemptEnd : uint8_t { kDone, kNeverRan, kMayHaveRun };

  Ms at = 0;
  Kind kind = Kind::kTaken;
  State state = State::kServing;
  AttemptEnd how = AttemptEnd::kDone;
  int16_t profile = -1;
  uint32_t gateway = 0, engine = 0;
  uint64_t command = 0, send = 0;
  uint64_t key = 0;  // ordering key; 0: none
  Ms until = 0;
};
// In the order of time; events at the same time in the order in which they happened.
using History = std::vector<HistoryEvent>;

// Rules that a run has to follow. The id of an engine is its index in `engines`.
struct RunRules {
  enum class Effect : uint8_t { kReplayable, kUniqued, kNonReplayable };
  enum class Group : uint8_t { kAll, kZone, kCell };
  struct Profile {
    std::string name;
    Effect effect = Effect::kReplayable;
    Ms window = 0;              // kUniqued: deduplication window, from the first attempt that may have run
    Group group = Group::kAll;  // kUniqued: engines that share a deduplication window
    bool in_order = false;      // commands of one ordering key run one after the other
    std::vector<std::string> zones, machines;  // where commands may run; empty: anywhere
  };
  struct Engine {
    std::string zone, machine;
    int cell = 0;
  };
  std::vector<Profile> profiles;
  std::vector<Engine> engines;
  Ms answer_grace = 50;  // tolerated after a client's deadline
  Ms drain_grace = 500;  // attempts may still start for so long after a drain was announced
  Ms key_rest = 0;       // wait before the next attempt of a key after one ended with an unknown outcome
  // Retry budget of a gateway: retries in any window are at most `budget_free` plus `budget_share` of the
  // commands admitted in it. A window of 0 means no limit.
  Ms budget_window = 0;
  double budget_free = 0, budget_share = 0;
};

}  // namespace firvalve::simulation
