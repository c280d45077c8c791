// The state of the policy for one gateway, and the containers in it. Nothing is decided here.
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
#include "policy/retry.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace firvalve {

// Read from the settings once, since every command needs them.
struct PolicyOptions {
  double gateways = 1;        // that share the engines
  double gateway_number = 0;  // of this one, from 0
  int max_attempts = 0;       // of one command
  bool may_cancel = false;    // attempts in flight
  bool are_priorities_heeded = false, are_memory_grants_heeded = false;
  std::optional<Duration> retry_after;    // advised to clients whose command is shed
  std::optional<Duration> status_period;  // engines report on each attempt this often
  Duration key_cooldown{};                // an ordering key rests so long after an attempt that may still run
  RetryBudgetOptions retry_budget;
  SlowStartOptions slow_start;
};

struct State {
  Settings settings;
  PolicyOptions options;
  Pcg32 random;
  std::vector<Profile> profiles;
  std::vector<Engine> engines;                    // by id; places move only when a new id is listed
  std::vector<std::string> machine_types, zones;  // every name listed so far
  // Commands in hand. Their slots are reused, so that a command in hand costs no allocation.
  std::vector<Command> slots;
  std::vector<size_t> free_slots;
  std::vector<size_t> in_hand;                      // slots in the order of admission
  std::vector<CommandId> unknown_profile_commands;  // fail at once
  // Of each mechanism:
  CostPredictionState cost_prediction;
  AdmissionQueueState queue;
  EnginePoolState pool;
  EngineSelectionState selection;
  ConcurrencyState concurrency;
  RetryBudget retry_budget;
  // Of this gateway:
  std::optional<TimePoint> timer_at;        // the timer that is set
  std::optional<TimePoint> next_tick_at;    // decisions are due then, as commands are in hand
  std::optional<TimePoint> resumed_at;      // the last stall of this gateway was noticed then
  std::optional<TimePoint> shutdown_at;     // this gateway ends then
  std::optional<TimePoint> first_event_at;  // this gateway started then
};

inline Profile& profile_of(State& state, const Command& command) { return state.profiles[command.profile]; }
inline const Profile& profile_of(const State& state, const Command& command) {
  return state.profiles[command.profile];
}

// A short command runs on one thread, and is not heavy.
bool is_short(const State& state, const Command& command);

// The place of a name; a new one is added.
size_t index_of(std::vector<std::string>& names, const std::string& name);

// The engine of that id; a new one takes its place by id.
Engine& find_or_add_engine(State& state, EngineId id);

// Erases removed engines that no command in hand refers to, once the removed are more than the others.
void forget_removed_engines(State& state);

// Null: not in hand.
Command* find_command(State& state, const CommandId& id);
const Command* find_command(const State& state, const CommandId& id);

// A new command, the last of those in hand.
Command& add_command_in_hand(State& state);

}  // namespace firvalve
