// Admission queue and load shedding: commands wait here until an engine has capacity, ordered by benefit per
// predicted work.
//
// Each review visits all queued commands in that order. A command that cannot finish before its client's
// deadline, or for which no further attempt is allowed, is shed; if it may have run and must not run again,
// it fails instead. Any other command starts as soon as an engine has capacity for it.
#pragma once

#include <vector>

#include "base/time.h"
#include "policy/actions.h"

namespace firvalve {

struct Command;
struct State;

// While the pool is overloaded, a heavy command waits this long before it is shed.
constexpr Duration kMaxHeavyWait = std::chrono::seconds(1);
// A queued command ends at the latest this long before its client's deadline.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(30);

// Blocks an ordering key while an attempt of an earlier command with that key may still run.
struct KeyCooldown {
  uint64_t key = 0;
  TimePoint until{};
};

// State of the admission queue.
struct AdmissionQueueState {
  std::vector<size_t> queued;  // scratch: slots of queued commands, in review order
  std::vector<KeyCooldown> key_cooldowns;
};

// Decides whether each queued command starts, waits or ends.
void review_queue(State& state, TimePoint now);

// Whether the command may start as far as its ordering key is concerned: it is the first active command with
// that key, and the key is not in cooldown.
bool is_next_for_ordering_key(const State& state, const Command& command, TimePoint now);

// Puts the command's ordering key into cooldown: its attempt has ended for this gateway but may still run on
// the engine.
void start_key_cooldown(State& state, const Command& command, TimePoint now);
void erase_expired_key_cooldowns(State& state, TimePoint now);

}  // namespace firvalve
