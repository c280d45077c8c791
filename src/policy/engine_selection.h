// Engine selection: which engine runs a command now.
//
// Of the engines that have room two are drawn at random, and the one with less predicted work in flight is
// taken ("power of two choices"). Heavy commands prefer the pool, all others the light engines; either may
// overflow into the other half.
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

// A load writes a table group on an engine, as a blocked attempt reported.
struct LockedTables {
  EngineId engine{};
  std::optional<int64_t> table_group;
  TimePoint until{};
};

struct EngineSelectionState {
  std::vector<size_t> candidates;  // scratch: places of engines with room
  std::vector<LockedTables> locked_tables;
};

// The place in State::engines of the one to run it. None: no engine has room.
std::optional<size_t> choose_engine(State& state, const Command& command, TimePoint now);

// Whether the profile's commands may run on such an engine.
bool is_allowed_on(const Profile& profile, const Engine& engine);

// Whether a load blocks the tables of that command on that engine: one of this gateway's own, or as reported.
bool is_blocked_by_load(const State& state, const Command& command, const Engine& engine);

// A blocked attempt reports that a load writes its tables there.
void note_locked_tables(State& state, const Command& command, EngineId engine, TimePoint now);
void forget_unlocked_tables(State& state, TimePoint now);

// An engine has read the command's tables, and has them cached.
void note_cached_tables(Engine& engine, const Command& command);

}  // namespace firvalve
