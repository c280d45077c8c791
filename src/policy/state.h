// The policy's state for one gateway, and helpers that find, add and erase engines and commands. Makes no
// decisions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy/admission_queue.h"
#include "policy/command.h"
#include "policy/concurrency_limit.h"
#include "policy/cost_prediction.h"
#include "policy/engine.h"
#include "policy/engine_pool.h"
#include "policy/engine_selection.h"
#include "policy/profile.h"
#include "policy/random.h"
#include "policy/recent_runs.h"
#include "policy/retry.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace firvalve {

// Options read from the settings once, because every command needs them.
struct PolicyOptions {
  double gateway_count = 1;   // number of gateways that share the engines
  double gateway_number = 0;  // number of this gateway, from 0
  int max_attempts = 0;       // per command
  bool may_cancel = false;    // whether attempts in flight may be cancelled
  bool are_priorities_honoured = false, are_memory_grants_honoured = false;  // by the engines
  std::optional<Duration> retry_after;    // advised to clients whose command is shed
  std::optional<Duration> status_period;  // interval between an engine's status reports on an attempt
  Duration key_cooldown{};  // how long an ordering key stays blocked after an attempt that may still run
  RetryBudgetOptions retry_budget;
  SlowStartOptions slow_start;
};

struct State {
  Settings settings;
  PolicyOptions options;
  Pcg32 random;
  std::vector<Profile> profiles;
  std::vector<Engine> engines;  // sorted by id; indices change only when an engine is inserted or erased
  std::vector<std::string> machine_types, zones;  // every name seen in the endpoint list
  // Active commands. Slots are reused, so that an active command needs no allocation.
  std::vector<Command> slots;
  std::vector<size_t> free_slots;
  std::vector<size_t> active_slots;                 // indices into `slots`, in order of admission
  std::vector<CommandId> unknown_profile_commands;  // failed by the next decide()
  // State of each mechanism:
  CostPredictionState cost_prediction;
  AdmissionQueueState queue;
  EnginePoolState pool;
  EngineSelectionState selection;
  ConcurrencyState concurrency;
  RetryBudget retry_budget;
  RecentRuns recent_runs;
  // State of the gateway itself:
  std::optional<TimePoint> timer_at;        // when the pending timer expires
  std::optional<TimePoint> next_tick_at;    // next periodic decision; set while commands are active
  std::optional<TimePoint> resumed_at;      // when the last stall of this gateway was detected
  std::optional<TimePoint> shutdown_at;     // when this gateway shuts down
  std::optional<TimePoint> first_event_at;  // when this gateway started
};

inline Profile& profile_of(State& state, const Command& command) { return state.profiles[command.profile]; }
inline const Profile& profile_of(const State& state, const Command& command) {
  return state.profiles[command.profile];
}

// Whether a command is short: it runs on one thread and is not heavy.
bool is_short(const State& state, const Command& command);

// Returns the index of a name, which is appended if it is new.
size_t find_or_add_index(std::vector<std::string>& names, const std::string& name);

// Returns the engine with this id, which is inserted in id order if it is new.
Engine& find_or_add_engine(State& state, EngineId id);

// Erases removed engines that no active command refers to, once they outnumber the other engines.
void erase_removed_engines(State& state);

// Returns null if the command is not active.
Command* find_command(State& state, const CommandId& id);
const Command* find_command(const State& state, const CommandId& id);

// Appends a new active command.
Command& add_active_command(State& state);

}  // namespace firvalve
