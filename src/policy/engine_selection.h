// Engine selection: chooses the engine that runs a command now.
//
// Two of the engines with capacity are drawn at random, and the one with less predicted work in flight is
// taken ("power of two choices"). Heavy commands prefer the pool, all others the light engines; either may
// overflow into the other partition.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

struct Command;
struct Engine;
struct Profile;
struct State;

// A load writes a table group on an engine, as a blocked attempt has reported.
struct TableLock {
  EngineId engine{};
  std::optional<int64_t> table_group;
  TimePoint until{};
};

// State of engine selection.
struct EngineSelectionState {
  std::vector<size_t> candidates;  // scratch: indices of engines with capacity
  std::vector<TableLock> table_locks;
};

// Returns the index in State::engines of the engine to run the command, or nullopt if no engine has capacity.
std::optional<size_t> choose_engine(State& state, const Command& command, TimePoint now);

// Whether the profile's zones and machine types allow the engine.
bool is_allowed_on(const Profile& profile, const Engine& engine);

// Whether a load blocks the command's tables on the engine: a load of this gateway, or one that a blocked
// attempt has reported.
bool is_blocked_by_load(const State& state, const Command& command, const Engine& engine);

// Records that a load writes the command's tables on the engine, as a blocked attempt reports.
void record_table_lock(State& state, const Command& command, EngineId engine, TimePoint now);
void erase_expired_table_locks(State& state, TimePoint now);

// Records that the engine has read the command's tables and caches them.
void record_cached_tables(Engine& engine, const Command& command);

}  // namespace firvalve
