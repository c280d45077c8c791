// Remembers the commands that may have run and must not run again.
//
// A command's own state ends with its last client. If a client sends the same id again after that, the engine
// would run it a second time. Replayable commands are not remembered: they may run any number of times.
#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "policy/events.h"

namespace firvalve {

struct Command;
struct State;

// The ids of the last such commands, so that the memory is bounded at any rate of commands.
class RecentRuns {
 public:
  static constexpr size_t kMaxIds = 4096;

  void add(const CommandId& id);
  bool contains(const CommandId& id) const { return ids_.count(id.text) > 0; }

 private:
  using Text = decltype(CommandId::text);
  std::set<Text> ids_;
  std::vector<Text> by_age_;  // ring buffer
  size_t oldest_ = 0;
};

// Remembers the command if it may have run and its effect forbids a second run.
void remember_run(State& state, const Command& command);

// Whether a command with this id may have run and must not run again.
bool must_not_run_again(const State& state, const CommandId& id);

}  // namespace firvalve
