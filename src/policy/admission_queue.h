// Admission queue and load shedding: commands that have no room wait here, most benefit for their work first.
//
// Each review looks at all of them in that order. One that could not end before its client's deadline, or
// that no further attempt may follow, is shed; where it may have run and must not run again, it fails. Any
// other runs as soon as an engine has room for it.
#pragma once

#include <vector>

#include "base/time.h"
#include "policy/actions.h"

namespace firvalve {

struct Command;
struct State;

// So long heavy commands are held before they are shed, while the pool is overloaded.
constexpr Duration kHeavyHold = std::chrono::seconds(1);
// Before the client's deadline: a queued command ends here at the latest.
constexpr Duration kEndSlack = std::chrono::milliseconds(30);

// An ordering key rests: an attempt of a command with that key may still run.
struct KeyCooldown {
  uint64_t key = 0;
  TimePoint until{};
};

struct AdmissionQueueState {
  std::vector<size_t> queued;  // scratch: slots of queued commands, in the order of review
  std::vector<KeyCooldown> key_cooldowns;
};

// Decides for each queued command whether it runs, waits or ends.
void review_queue(State& state, TimePoint now);

// Whether it is the command's turn among those of its ordering key.
bool has_turn(const State& state, const Command& command, TimePoint now);

// An attempt of an ordered command has ended, but may still run on its engine.
void start_key_cooldown(State& state, const Command& command, TimePoint now);
void forget_key_cooldowns(State& state, TimePoint now);

}  // namespace firvalve
